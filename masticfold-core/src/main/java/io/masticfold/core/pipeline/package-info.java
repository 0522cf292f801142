/** The entry's run of a request through the stages of a pipeline under one deadline. */
@NullMarked
package io.masticfold.core.pipeline;

import org.jspecify.annotations.NullMarked;

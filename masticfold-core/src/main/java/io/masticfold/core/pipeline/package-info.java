/** Execution of a request through the stages of a pipeline under one deadline, at the entry. */
@NullMarked
package io.masticfold.core.pipeline;

import org.jspecify.annotations.NullMarked;

/** Detection of poison requests: work that crashes every target that begins it because of what it holds. */
@NullMarked
package io.masticfold.core.quarantine;

import org.jspecify.annotations.NullMarked;

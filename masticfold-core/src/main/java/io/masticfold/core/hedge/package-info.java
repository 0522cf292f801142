/** Second sends of idempotent requests whose answer is late. */
@NullMarked
package io.masticfold.core.hedge;

import org.jspecify.annotations.NullMarked;

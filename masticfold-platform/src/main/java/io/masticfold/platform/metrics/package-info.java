/** Metrics recorded with Micrometer. */
@NullMarked
package io.masticfold.platform.metrics;

import org.jspecify.annotations.NullMarked;

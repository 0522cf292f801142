/** Specifications of configuration objects: contracts, pipelines, availability zones, targets and models. */
@NullMarked
package io.masticfold.core.model;

import org.jspecify.annotations.NullMarked;

/** Agent daemon, which admits stage attempts from entries and forwards them to its co-located target over HTTP. */
@NullMarked
package io.masticfold.agent;

import org.jspecify.annotations.NullMarked;

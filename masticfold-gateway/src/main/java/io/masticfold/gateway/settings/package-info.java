/** Settings of the gateway and the watcher of the settings file. */
@NullMarked
package io.masticfold.gateway.settings;

import org.jspecify.annotations.NullMarked;

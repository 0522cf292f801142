/** Relay between two processes whose connections can be cut. */
@NullMarked
package io.masticfold.testkit.relay;

import org.jspecify.annotations.NullMarked;

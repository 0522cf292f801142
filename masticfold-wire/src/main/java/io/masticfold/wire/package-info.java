/**
 * Transport between entries and agents: length-prefixed protobuf frames over TCP, mutual authentication, heartbeats and
 * replication of the configuration.
 */
@NullMarked
package io.masticfold.wire;

import org.jspecify.annotations.NullMarked;

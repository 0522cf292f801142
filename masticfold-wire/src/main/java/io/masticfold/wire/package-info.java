/**
 * Transport between entry and agent: length-prefixed protobuf frames over TCP, mutual authentication, heartbeats and
 * the exchange of configuration.
 */
@NullMarked
package io.masticfold.wire;

import org.jspecify.annotations.NullMarked;

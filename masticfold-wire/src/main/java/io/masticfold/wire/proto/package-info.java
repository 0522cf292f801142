/** Generated protobuf messages. */
package io.masticfold.wire.proto;

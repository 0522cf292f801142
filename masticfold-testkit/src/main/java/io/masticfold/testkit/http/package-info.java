/** Common parts of the HTTP stand-ins: event loop, connections, fault switches and JSON. */
@NullMarked
package io.masticfold.testkit.http;

import org.jspecify.annotations.NullMarked;

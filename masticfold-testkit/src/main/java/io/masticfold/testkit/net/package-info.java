/** Network addresses for tests. */
@NullMarked
package io.masticfold.testkit.net;

import org.jspecify.annotations.NullMarked;

/** Agent daemon: admits the attempts of entries and calls the target beside it. */
@NullMarked
package io.masticfold.agent;

import org.jspecify.annotations.NullMarked;

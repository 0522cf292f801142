/** Load of targets as this gateway and its peers observe it. */
@NullMarked
package io.masticfold.gateway.load;

import org.jspecify.annotations.NullMarked;

/** Configuration of request forwarding: routes, pools, workspaces, limits and the resend policy. */
@NullMarked
package io.masticfold.core.forward;

import org.jspecify.annotations.NullMarked;

package io.masticfold.core.forward;

import java.util.Optional;

/** How the callers of a deployment authenticate. */
public enum CallerAuthentication {
    /** The deployment has no workspaces and serves everybody. */
    NONE {
        @Override
        boolean admits(ForwardRoute _route, Optional<WorkspaceSpec> _workspace) {
            return true;
        }
    },
    /** Callers need an API key of a workspace, also if no workspace has a key. */
    API_KEY {
        @Override
        boolean admits(ForwardRoute route, Optional<WorkspaceSpec> workspace) {
            return route.publicAccess() || workspace.isPresent();
        }
    };

    /**
     * Returns whether a request may be served.
     *
     * @param workspace workspace of the caller's API key; empty if the key is unknown or missing
     */
    abstract boolean admits(ForwardRoute route, Optional<WorkspaceSpec> workspace);
}

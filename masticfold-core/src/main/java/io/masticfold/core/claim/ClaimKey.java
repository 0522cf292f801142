package io.masticfold.core.claim;

/**
 * Identifies a claim.
 *
 * @param workspace name of the caller's workspace
 * @param keySha256 SHA-256 of the idempotency key, in lower-case hexadecimal digits
 * @param pipeline name of the pipeline
 * @param stage name of the non-idempotent stage
 */
public record ClaimKey(String workspace, String keySha256, String pipeline, String stage) {

    /** Returns the name of the claim's object in the store. */
    public String objectName() {
        return workspace + '.' + keySha256 + '.' + pipeline + '.' + stage;
    }
}

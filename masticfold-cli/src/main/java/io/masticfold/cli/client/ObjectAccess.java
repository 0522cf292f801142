package io.masticfold.cli.client;

import io.masticfold.cli.command.CommandException;
import io.masticfold.platform.store.StoreReply;

/** Reads and writes single objects, blocking. */
public interface ObjectAccess {

    /**
     * Reads an object.
     *
     * @throws CommandException if the command was interrupted
     */
    StoreReply get(String kind, String name) throws CommandException;

    /**
     * Writes an object by conditional update.
     *
     * @param expectedVersion version the writer has read, 0 to create
     * @param changeId id of the change
     * @param spec the specification as JSON text
     * @throws CommandException if the command was interrupted
     */
    StoreReply put(String kind, String name, long expectedVersion, String changeId, String spec)
            throws CommandException;
}

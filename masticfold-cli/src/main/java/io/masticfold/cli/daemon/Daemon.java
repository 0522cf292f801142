package io.masticfold.cli.daemon;

import io.masticfold.cli.command.CommandException;

/** Represents a process that can be started and stopped. */
public interface Daemon {

    /**
     * Starts the daemon.
     *
     * @throws CommandException if it cannot serve; nothing keeps running then
     */
    void start() throws CommandException;

    /** Stops the daemon gracefully. */
    void stop() throws InterruptedException;
}

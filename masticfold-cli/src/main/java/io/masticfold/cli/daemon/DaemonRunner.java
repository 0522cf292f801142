package io.masticfold.cli.daemon;

import io.masticfold.cli.command.CommandException;
import io.masticfold.cli.command.ExitCode;
import java.util.concurrent.CountDownLatch;

/** Runs a daemon until the process is asked to stop by SIGTERM or SIGINT, then stops it gracefully. */
public final class DaemonRunner {

    private DaemonRunner() {}

    /**
     * Starts the daemon and waits.
     *
     * @throws CommandException if the daemon cannot start
     */
    @SuppressWarnings("ShutdownHook") // a plain process has no web server whose resources could do this
    public static ExitCode run(Daemon daemon) throws CommandException {
        daemon.start();
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon, stopped), "shutdown"));
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CommandException(ExitCode.FAILED, "interrupted", e);
        }
        return ExitCode.OK;
    }

    private static void stop(Daemon daemon, CountDownLatch stopped) {
        try {
            daemon.stop();
        } catch (InterruptedException _e) {
            Thread.currentThread().interrupt();
        } finally {
            stopped.countDown();
        }
    }
}

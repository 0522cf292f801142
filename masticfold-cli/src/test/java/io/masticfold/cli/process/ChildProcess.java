package io.masticfold.cli.process;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Runs a main class as an operating system process that can be frozen, killed, ended and started again. */
final class ChildProcess {

    private static final List<String> JVM = List.of("-Xmx96m", "-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC");
    private static final int LOG_TAIL_CHARS = 4_000;

    private final String name;
    private final Path log;
    private final List<String> command;
    private Process process;

    private ChildProcess(String name, Path log, List<String> command, Process process) {
        this.name = name;
        this.log = log;
        this.command = command;
        this.process = process;
    }

    /** Starts a main class of the test class path. */
    static ChildProcess start(String name, Path directory, Class<?> main, List<String> arguments) throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(JVM);
        command.add("-cp");
        command.add(System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")));
        command.add(main.getName());
        command.addAll(arguments);
        Path log = directory.resolve(name + ".log");
        return new ChildProcess(name, log, List.copyOf(command), launch(command, log));
    }

    private static Process launch(List<String> command, Path log) throws IOException {
        return new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .start();
    }

    String name() {
        return name;
    }

    boolean alive() {
        return process.isAlive();
    }

    /** Sends SIGKILL and waits for the end. */
    void kill() throws InterruptedException {
        process.destroyForcibly();
        awaitExit();
    }

    /** Sends SIGTERM. */
    void terminate() {
        process.destroy();
    }

    /** Sends SIGSTOP. */
    void freeze() throws IOException, InterruptedException {
        signal("STOP");
    }

    /** Sends SIGCONT. */
    void resume() throws IOException, InterruptedException {
        signal("CONT");
    }

    /** Starts the ended process again with the same arguments. */
    void restart() throws IOException {
        if (alive()) {
            throw new IllegalStateException(name + " is still running");
        }
        process = launch(command, log);
    }

    /** Waits for the end and returns the exit code. */
    int awaitExit() throws InterruptedException {
        if (!process.waitFor(Await.BOUND.toMillis(), TimeUnit.MILLISECONDS)) {
            throw new AssertionError(name + " did not end within " + Await.BOUND + "; " + logTail());
        }
        return process.exitValue();
    }

    /** Returns the end of the process's output, for messages. */
    String logTail() {
        try {
            String text = Files.readString(log, StandardCharsets.UTF_8);
            return "log of " + name + ": " + text.substring(Math.max(0, text.length() - LOG_TAIL_CHARS));
        } catch (IOException e) {
            return "no log of " + name + ": " + e.getMessage();
        }
    }

    private void signal(String signal) throws IOException, InterruptedException {
        int code = new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                .start()
                .waitFor();
        if (code != 0) {
            throw new IOException("kill -" + signal + " of " + name + " ended with " + code);
        }
    }
}

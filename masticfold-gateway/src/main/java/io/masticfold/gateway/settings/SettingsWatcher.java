package io.masticfold.gateway.settings;

import io.masticfold.platform.json.JsonProblemException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Polls the settings file on a separate thread and reloads it when its content changes. */
public final class SettingsWatcher {

    /** Polling interval; a change of the file need not be accompanied by a signal. */
    private static final Duration POLL_INTERVAL = Duration.ofSeconds(1);

    private final Path file;
    private final Consumer<GatewaySettings> changed;
    private final Consumer<String> rejected;
    private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "settings-watch");
        thread.setDaemon(true);
        return thread;
    });
    private String lastText;

    /**
     * Creates a watcher.
     *
     * @param lastText content of the file from which the active settings were read
     * @param changed receives changed settings
     * @param rejected receives the error message if the file cannot be read or is invalid
     */
    public SettingsWatcher(Path file, String lastText, Consumer<GatewaySettings> changed, Consumer<String> rejected) {
        this.file = file;
        this.lastText = lastText;
        this.changed = changed;
        this.rejected = rejected;
    }

    /** Starts polling. */
    public void start() {
        executor.scheduleWithFixedDelay(
                this::checkFile, POLL_INTERVAL.toMillis(), POLL_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Checks the file immediately, as on a reload signal. */
    public void checkNow() {
        executor.execute(this::checkFile);
    }

    /** Stops polling. */
    public void stop() {
        executor.shutdownNow();
    }

    private void checkFile() {
        try {
            String text = Files.readString(file);
            if (!text.equals(lastText)) {
                lastText = text;
                changed.accept(GatewaySettingsReader.read(file.toString(), text));
            }
        } catch (IOException | JsonProblemException e) {
            rejected.accept(String.valueOf(e.getMessage()));
        }
    }
}

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

/** Reads the settings file again when its content changes, on a thread of its own. */
public final class SettingsWatch {

    /** Time between two looks at the file; changes may come without a signal. */
    private static final Duration INTERVAL = Duration.ofSeconds(1);

    private final Path file;
    private final Consumer<GatewaySettings> changed;
    private final Consumer<String> refused;
    private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "settings-watch");
        thread.setDaemon(true);
        return thread;
    });
    private String lastText;

    /**
     * Creates a watch.
     *
     * @param lastText text of the file that is in force
     * @param changed takes changed settings
     * @param refused takes the problem of settings that cannot be used
     */
    public SettingsWatch(Path file, String lastText, Consumer<GatewaySettings> changed, Consumer<String> refused) {
        this.file = file;
        this.lastText = lastText;
        this.changed = changed;
        this.refused = refused;
    }

    /** Starts to look at the file. */
    public void start() {
        executor.scheduleWithFixedDelay(this::look, INTERVAL.toMillis(), INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Looks at the file now, as on a signal. */
    public void lookNow() {
        executor.execute(this::look);
    }

    /** Stops to look at the file. */
    public void stop() {
        executor.shutdownNow();
    }

    private void look() {
        try {
            String text = Files.readString(file);
            if (!text.equals(lastText)) {
                lastText = text;
                changed.accept(GatewaySettingsReader.read(file.toString(), text));
            }
        } catch (IOException | JsonProblemException e) {
            refused.accept(String.valueOf(e.getMessage()));
        }
    }
}

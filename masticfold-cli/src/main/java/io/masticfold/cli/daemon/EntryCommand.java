package io.masticfold.cli.daemon;

import io.masticfold.cli.command.CommandException;
import io.masticfold.cli.command.ExitCode;
import io.masticfold.core.error.MasticfoldException;
import io.masticfold.entry.EntryDaemon;
import io.masticfold.platform.json.JsonProblemException;
import io.masticfold.platform.settings.SettingsReader;

/** Runs an entry. */
public final class EntryCommand extends AbstractDaemonCommand {

    @Override
    public String name() {
        return "entry";
    }

    @Override
    public String description() {
        return "runs an entry until it is asked to stop";
    }

    @Override
    Daemon daemon(String file, String text) throws JsonProblemException {
        return of(new EntryDaemon(SettingsReader.entry(file, text)));
    }

    private static Daemon of(EntryDaemon daemon) {
        return new Daemon() {
            @Override
            public void start() throws CommandException {
                try {
                    daemon.start();
                } catch (MasticfoldException e) {
                    throw new CommandException(ExitCode.FAILED, "the entry cannot start: " + e.getMessage(), e);
                }
            }

            @Override
            public void stop() throws InterruptedException {
                daemon.stop();
            }
        };
    }
}

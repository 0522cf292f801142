package io.masticfold.cli.daemon;

import io.masticfold.agent.AgentDaemon;
import io.masticfold.cli.command.CommandException;
import io.masticfold.cli.command.ExitCode;
import io.masticfold.platform.json.JsonProblemException;
import io.masticfold.platform.settings.SettingsReader;
import java.io.IOException;

/** Runs an agent. */
public final class AgentCommand extends AbstractDaemonCommand {

    @Override
    public String name() {
        return "agent";
    }

    @Override
    public String description() {
        return "runs an agent until it is asked to stop";
    }

    @Override
    Daemon daemon(String file, String text) throws JsonProblemException {
        return of(new AgentDaemon(SettingsReader.agent(file, text)));
    }

    private static Daemon of(AgentDaemon daemon) {
        return new Daemon() {
            @Override
            public void start() throws CommandException {
                try {
                    daemon.start();
                } catch (IOException e) {
                    throw new CommandException(ExitCode.FAILED, "the agent cannot start: " + e.getMessage(), e);
                }
            }

            @Override
            public void stop() {
                daemon.stop();
            }
        };
    }
}

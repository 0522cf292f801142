package io.masticfold.cli.dev;

import io.masticfold.cli.command.Command;
import io.masticfold.cli.command.CommandException;
import io.masticfold.cli.command.ExitCode;
import io.masticfold.cli.command.OptionSupport;
import io.masticfold.cli.daemon.Daemon;
import io.masticfold.cli.daemon.DaemonRunner;
import io.masticfold.entry.EntryOptions;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** Runs a deployment with stand-ins in one process. */
public final class DevCommand implements Command {

    private static final String ONCE = "once";

    @Override
    public String name() {
        return "dev";
    }

    @Override
    public String description() {
        return "runs a deployment with stand-ins in one process on loopback";
    }

    @Override
    public String arguments() {
        return "DIRECTORY";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(Option.builder()
                        .longOpt(ONCE)
                        .desc("sends one request through every pipeline, prints the answers and ends")
                        .get());
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream out, PrintStream _err) throws CommandException {
        Path directory =
                Path.of(OptionSupport.arguments(line, 1, 1, "DIRECTORY").get(0));
        DeploymentFiles files = DeploymentFiles.read(directory);
        LocalDeployment deployment = new LocalDeployment(files, StandInProfiles.byKind(), EntryOptions.DEFAULT);
        InetSocketAddress entry = files.settings().entries().get(0).listen();
        if (line.hasOption(ONCE)) {
            return once(files, deployment, entry, out);
        }
        return DaemonRunner.run(new Daemon() {
            @Override
            public void start() throws CommandException {
                deployment.start();
                out.println("entry 1 serves callers on " + entry + "; try:");
                out.println(SampleRequest.of(files).get(0).curl(entry));
            }

            @Override
            public void stop() throws InterruptedException {
                deployment.stop();
            }
        });
    }

    private static ExitCode once(
            DeploymentFiles files, LocalDeployment deployment, InetSocketAddress entry, PrintStream out)
            throws CommandException {
        deployment.start();
        boolean whole = new SampleRunner(out).run(files, entry);
        try {
            deployment.stop();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CommandException(ExitCode.FAILED, "interrupted", e);
        }
        return whole ? ExitCode.OK : ExitCode.FAILED;
    }
}

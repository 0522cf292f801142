package io.masticfold.cli.operate;

import io.masticfold.cli.client.AgentStatus;
import io.masticfold.cli.client.EntryAnswer;
import io.masticfold.cli.client.EntryStatus;
import io.masticfold.cli.client.PlatformSession;
import io.masticfold.cli.command.CommandException;
import io.masticfold.cli.command.ExitCode;
import io.masticfold.core.time.Deadline;
import io.masticfold.core.time.TimeSource;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** Waits until every entry, and every agent the entries know, reports a revision of the configuration. */
final class Confirmation {

    private static final long POLL_MILLIS = 100;

    private final PlatformSession session;
    private final InetSocketAddress vmList;
    private final TimeSource time;
    private final Duration bound;

    Confirmation(PlatformSession session, InetSocketAddress vmList, TimeSource time, Duration bound) {
        this.session = session;
        this.vmList = vmList;
        this.time = time;
        this.bound = bound;
    }

    /** Waits, and lists the processes that have not confirmed within the bound. */
    ExitCode await(long revision, PrintStream out, PrintStream err) throws CommandException {
        Deadline deadline = Deadline.after(time, bound);
        while (true) {
            List<EntryAnswer> answers = read(err);
            SortedMap<String, String> missing = missing(answers, revision);
            if (!answers.isEmpty() && missing.isEmpty()) {
                out.println("confirmed by all processes");
                return ExitCode.OK;
            }
            if (deadline.expired(time)) {
                missing.forEach((process, state) -> err.println("not confirmed by " + process + ": " + state));
                if (answers.isEmpty()) {
                    err.println("not confirmed by any process: no entry is known");
                }
                return ExitCode.UNCONFIRMED;
            }
            pause();
        }
    }

    private List<EntryAnswer> read(PrintStream err) {
        try {
            return EntryAnswer.readAll(session, vmList);
        } catch (CommandException e) {
            err.println(e.getMessage());
            return List.of();
        }
    }

    private static SortedMap<String, String> missing(List<EntryAnswer> answers, long revision) {
        SortedMap<String, String> missing = new TreeMap<>();
        SortedMap<String, AgentStatus> agents = new TreeMap<>();
        for (EntryAnswer answer : answers) {
            String process = "entry " + answer.vm().name();
            if (answer.status().isEmpty()) {
                missing.put(process, "no answer");
                continue;
            }
            EntryStatus status = answer.status().get();
            if (status.configRevision() < revision) {
                missing.put(process, "at revision " + status.configRevision());
            }
            status.agents().forEach(agent -> agents.merge(agent.target(), agent, Confirmation::newer));
        }
        agents.values().stream()
                .filter(agent -> agent.configRevision() < revision)
                .forEach(agent -> missing.put("agent of target " + agent.target(), state(agent)));
        return missing;
    }

    /** Chooses the later report: what an agent confirmed to one entry holds, even if another has not heard it yet. */
    private static AgentStatus newer(AgentStatus first, AgentStatus second) {
        return first.configRevision() >= second.configRevision() ? first : second;
    }

    private static String state(AgentStatus agent) {
        return (agent.usable() ? "" : "not connected, last ") + "at revision " + agent.configRevision();
    }

    private static void pause() throws CommandException {
        try {
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CommandException(ExitCode.FAILED, "interrupted", e);
        }
    }
}

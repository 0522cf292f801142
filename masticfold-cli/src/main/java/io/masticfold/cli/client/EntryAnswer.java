package io.masticfold.cli.client;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.masticfold.cli.command.CommandException;
import io.masticfold.platform.http.HttpResult;
import io.masticfold.platform.vm.VmInfo;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Pairs an entry of the VM list with its status.
 *
 * @param vm the VM
 * @param status its status, empty if it gave no valid answer
 */
public record EntryAnswer(VmInfo vm, Optional<EntryStatus> status) {

    private static final int OK = 200;

    /**
     * Reads the status of every entry of the VM list, leaving ones included, because the list is no proof of death.
     *
     * @throws CommandException if the VM list cannot be reached
     */
    public static List<EntryAnswer> readAll(PlatformSession session, InetSocketAddress vmList) throws CommandException {
        List<VmInfo> entries =
                session.vms(vmList).stream().filter(VmInfo::entry).toList();
        List<HttpResult> results =
                session.readAll(entries.stream().map(VmInfo::admin).toList(), "/status");
        List<EntryAnswer> answers = new ArrayList<>();
        for (int i = 0; i < entries.size(); i++) {
            answers.add(new EntryAnswer(entries.get(i), status(results.get(i))));
        }
        return answers;
    }

    private static Optional<EntryStatus> status(HttpResult result) {
        if (!(result instanceof HttpResult.Answered answered) || answered.status() != OK) {
            return Optional.empty();
        }
        try {
            return Optional.of(EntryStatus.parse(answered.body()));
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }
}

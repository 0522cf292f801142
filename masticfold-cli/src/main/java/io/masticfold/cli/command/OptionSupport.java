package io.masticfold.cli.command;

import io.masticfold.platform.json.AddressSupport;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;

/** Defines and reads the options that several commands share. */
public final class OptionSupport {

    private static final String OBJECT_API = "object-api";
    private static final String VM_LIST = "vm-list";
    private static final String ADDRESS = "ip:port";

    private OptionSupport() {}

    /** Creates the option for the address of the object API. */
    public static Option objectApi() {
        return address(OBJECT_API, "address of the object API");
    }

    /** Creates the option for the address of the VM list. */
    public static Option vmList() {
        return address(VM_LIST, "address of the VM list");
    }

    /**
     * Reads the address of the object API.
     *
     * @throws CommandException if it is not an address
     */
    public static InetSocketAddress objectApi(CommandLine line) throws CommandException {
        return address(line, OBJECT_API);
    }

    /**
     * Reads the address of the VM list.
     *
     * @throws CommandException if it is not an address
     */
    public static InetSocketAddress vmList(CommandLine line) throws CommandException {
        return address(line, VM_LIST);
    }

    /**
     * Returns the arguments after the options.
     *
     * @throws CommandException if there are fewer or more than allowed
     */
    public static List<String> arguments(CommandLine line, int least, int most, String usage) throws CommandException {
        List<String> arguments = line.getArgList();
        if (arguments.size() < least || arguments.size() > most) {
            throw new CommandException(ExitCode.USAGE, "expected arguments: " + usage + ", found: " + arguments);
        }
        return arguments;
    }

    /**
     * Reads a file as UTF-8 text.
     *
     * @throws CommandException if it cannot be read
     */
    public static String read(String file) throws CommandException {
        try {
            return Files.readString(Path.of(file));
        } catch (IOException | InvalidPathException e) {
            throw new CommandException(ExitCode.INVALID, file + ": cannot be read: " + e, e);
        }
    }

    private static Option address(String name, String description) {
        return Option.builder()
                .longOpt(name)
                .hasArg()
                .argName(ADDRESS)
                .required()
                .desc(description)
                .get();
    }

    private static InetSocketAddress address(CommandLine line, String name) throws CommandException {
        String value = line.getOptionValue(name);
        return AddressSupport.parse(value)
                .orElseThrow(() -> new CommandException(
                        ExitCode.USAGE, "--" + name + " must be a numeric ip:port, found '" + value + "'"));
    }
}

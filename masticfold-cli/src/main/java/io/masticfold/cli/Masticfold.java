package io.masticfold.cli;

/** Starts the subcommand named on the command line. */
public final class Masticfold {

    private static final int EXIT_USAGE = 2;

    private Masticfold() {}

    /** Runs the program and exits with the code of the subcommand. */
    public static void main(String[] args) {
        System.exit(args.length == 0 ? EXIT_USAGE : EXIT_USAGE + 1);
    }
}

package io.masticfold.cli.bench;

/** Holds the sizes of the bench deployment. */
final class BenchSizes {

    static final int ENTRIES = 3;
    static final int ZONES = 4;
    static final int ENGINES = 8;
    static final int ENGINE_SLOTS = 4;
    static final int ENGINE_MILLIS = 50;
    static final int HELPERS_PER_POOL = 4;
    static final int HELPER_SLOTS = 16;
    static final int HELPER_MILLIS = 5;
    static final int COLD_SLOTS = 1;
    static final int COLD_MILLIS = 1_500;
    static final int QUEUE_LIMIT = 16;
    static final int TOKENS = 10;
    static final int WINDOW_MILLIS = 1_000;
    static final int LAG_MILLIS = 200;

    /** Requests per second that the engines can serve when all are warm. */
    static final double CAPACITY_PER_SECOND = ENGINES * ENGINE_SLOTS * 1_000.0 / ENGINE_MILLIS;

    private BenchSizes() {}
}

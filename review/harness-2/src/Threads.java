/** Starts daemon threads, which end with the process. */
final class Threads {

    private Threads() {}

    /** Work that may fail. */
    interface Task {
        void run() throws Exception;
    }

    static Thread start(String name, Task task) {
        Thread thread = new Thread(
                null,
                () -> {
                    try {
                        task.run();
                    } catch (Exception e) {
                        Record.note(name + ": " + e);
                    }
                },
                name,
                256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until a time of {@link Record#millis}. */
    static void until(long millis) {
        sleep(millis - Record.millis());
    }
}

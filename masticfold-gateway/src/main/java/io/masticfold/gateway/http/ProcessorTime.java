package io.masticfold.gateway.http;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;

/** Tells the processor time of a thread. */
final class ProcessorTime {

    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final boolean SUPPORTED = THREADS.isCurrentThreadCpuTimeSupported();

    private ProcessorTime() {}

    /** Returns the processor time that this thread has used, or a running clock if the JVM cannot tell; nanoseconds. */
    static long ofCurrentThread() {
        return SUPPORTED ? THREADS.getCurrentThreadCpuTime() : System.nanoTime();
    }
}

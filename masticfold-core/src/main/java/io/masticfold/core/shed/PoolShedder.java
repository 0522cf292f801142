package io.masticfold.core.shed;

import io.masticfold.core.time.TimeSource;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.DoubleAdder;
import java.util.concurrent.atomic.LongAdder;
import java.util.random.RandomGenerator;

/**
 * Sheds the requests of least worth per unit of cost when a pool is overloaded.
 *
 * <p>The admitted share of the offered cost is steered so that the targets' queues stay filled to a set multiple of
 * their limits: refusals alone come only after the queues have filled, too late for a steady control. A histogram of
 * the offered cost by worth per cost turns the share into a cut-off; the bucket at the cut-off is admitted in part, so
 * that equal requests do not swing between all and none.
 */
final class PoolShedder {

    private static final int BUCKETS = 128;
    private static final int BUCKETS_PER_OCTAVE = 4;
    private static final int MIDDLE = BUCKETS / 2;
    private static final double HISTOGRAM_DECAY = 0.8;
    private static final double LOG_2 = Math.log(2);

    private final ShedSettings settings;
    private final TimeSource time;
    private final RandomGenerator random;
    private final DoubleAdder[] offered = new DoubleAdder[BUCKETS];
    private final double[] histogram = new double[BUCKETS];
    private final LongAdder ended = new LongAdder();
    private final LongAdder overloaded = new LongAdder();
    private final DoubleAdder utilization = new DoubleAdder();
    private final AtomicLong windowEnd;
    private volatile Cutoff cutoff = Cutoff.OPEN;
    private volatile double admittedShare = 1;

    PoolShedder(ShedSettings settings, TimeSource time, RandomGenerator random) {
        this.settings = settings;
        this.time = time;
        this.random = random;
        this.windowEnd = new AtomicLong(time.nanoTime() + windowNanos());
        Arrays.setAll(offered, _bucket -> new DoubleAdder());
    }

    /** Records an offered request and decides whether it is admitted. */
    boolean admit(double worth, double cost) {
        int bucket = bucket(worth / cost);
        offered[bucket].add(cost);
        adjust();
        Cutoff current = cutoff;
        if (bucket == current.bucket()) {
            return random.nextDouble() < current.part();
        }
        return bucket > current.bucket();
    }

    void observe(boolean wasOverloaded, double targetUtilization) {
        ended.increment();
        utilization.add(targetUtilization);
        if (wasOverloaded) {
            overloaded.increment();
        }
        adjust();
    }

    /** Returns the share of the offered cost that is admitted. */
    double admittedShare() {
        return admittedShare;
    }

    private void adjust() {
        long now = time.nanoTime();
        long end = windowEnd.get();
        if (now - end < 0 || !windowEnd.compareAndSet(end, now + windowNanos())) {
            return;
        }
        synchronized (histogram) {
            adjustShare();
            adjustCutoff();
        }
    }

    private void adjustShare() {
        double pressure = pressure();
        if (pressure > 1) {
            double factor = Math.max(settings.decreaseLeast(), 1 - settings.gain() * (pressure - 1));
            admittedShare = Math.max(settings.floor(), admittedShare * factor);
        } else {
            double step = admittedShare * settings.growth() + settings.increase();
            admittedShare = Math.min(1, admittedShare + step * (1 - pressure));
        }
    }

    /** Returns the pressure of the window: 1 keeps the admitted share, more lowers it, less raises it. */
    private double pressure() {
        long samples = ended.sumThenReset();
        double refused = overloaded.sumThenReset() / (double) Math.max(1, samples);
        double filled = utilization.sumThenReset() / Math.max(1, samples) / settings.targetUtilization();
        return refused > settings.overloadShare() ? Math.max(filled, 1 + refused) : filled;
    }

    private void adjustCutoff() {
        double total = 0;
        for (int i = 0; i < BUCKETS; i++) {
            histogram[i] = histogram[i] * HISTOGRAM_DECAY + offered[i].sumThenReset();
            total += histogram[i];
        }
        cutoff = admittedShare >= 1 ? Cutoff.OPEN : cutoff(total * admittedShare);
    }

    private Cutoff cutoff(double admittedCost) {
        double left = admittedCost;
        for (int i = BUCKETS - 1; i >= 0; i--) {
            if (histogram[i] > left) {
                return new Cutoff(i, left / histogram[i]);
            }
            left -= histogram[i];
        }
        return Cutoff.OPEN;
    }

    private static int bucket(double worthPerCost) {
        double octaves = Math.log(worthPerCost) / LOG_2;
        int bucket = MIDDLE + (int) Math.floor(octaves * BUCKETS_PER_OCTAVE);
        return Math.max(0, Math.min(BUCKETS - 1, bucket));
    }

    private long windowNanos() {
        return TimeUnit.MILLISECONDS.toNanos(settings.windowMillis());
    }

    private record Cutoff(int bucket, double part) {
        static final Cutoff OPEN = new Cutoff(-1, 1);
    }
}

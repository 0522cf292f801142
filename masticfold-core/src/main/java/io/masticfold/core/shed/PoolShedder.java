package io.masticfold.core.shed;

import io.masticfold.core.time.TimeSource;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.DoubleAdder;
import java.util.concurrent.atomic.LongAdder;
import java.util.random.RandomGenerator;

/**
 * Sheds the requests with the lowest worth per unit of cost while a pool is overloaded.
 *
 * <p>A feedback loop adjusts the admitted share of the offered cost so that the work at the targets stays at a set
 * multiple of their limits. Refusals alone would be too late a signal for a stable loop, since they only start once the
 * queues are full. A histogram of the offered cost by worth per cost translates the share into a cutoff. Requests in
 * the cutoff bucket are admitted with a probability, so that requests of equal worth are not alternately all admitted
 * and all shed.
 */
final class PoolShedder {

    private static final int BUCKETS = 128;
    private static final int BUCKETS_PER_OCTAVE = 4;
    private static final int MIDDLE_BUCKET = BUCKETS / 2;
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
    private volatile Cutoff cutoff = Cutoff.NONE;
    private volatile double admittedShare = 1;

    PoolShedder(ShedSettings settings, TimeSource time, RandomGenerator random) {
        this.settings = settings;
        this.time = time;
        this.random = random;
        this.windowEnd = new AtomicLong(time.nanoTime() + windowNanos());
        Arrays.setAll(offered, _bucket -> new DoubleAdder());
    }

    /** Records an offered request and returns whether it is admitted. */
    boolean admit(double worth, double cost) {
        int bucket = bucket(worth / cost);
        offered[bucket].add(cost);
        adjust();
        Cutoff current = cutoff;
        if (bucket == current.bucket()) {
            return random.nextDouble() < current.admittedFraction();
        }
        return bucket > current.bucket();
    }

    void attemptEnded(boolean wasOverloaded, double targetUtilization) {
        ended.increment();
        utilization.add(targetUtilization);
        if (wasOverloaded) {
            overloaded.increment();
        }
        adjust();
    }

    /** Returns the admitted share of the offered cost. */
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
        double pressure = takePressure();
        if (pressure > 1) {
            double factor = Math.max(settings.minDecreaseFactor(), 1 - settings.decreaseGain() * (pressure - 1));
            admittedShare = Math.max(settings.minAdmittedShare(), admittedShare * factor);
        } else {
            double step = admittedShare * settings.relativeIncrease() + settings.additiveIncrease();
            admittedShare = Math.min(1, admittedShare + step * (1 - pressure));
        }
    }

    /**
     * Returns the pressure in the window and resets its counters, which starts the next window. Above 1 the admitted
     * share is lowered, below 1 it is raised.
     */
    private double takePressure() {
        long samples = ended.sumThenReset();
        double overloadedShare = overloaded.sumThenReset() / (double) Math.max(1, samples);
        double relativeUtilization = utilization.sumThenReset() / Math.max(1, samples) / settings.targetUtilization();
        return overloadedShare > settings.overloadThreshold()
                ? Math.max(relativeUtilization, 1 + overloadedShare)
                : relativeUtilization;
    }

    private void adjustCutoff() {
        double total = 0;
        for (int i = 0; i < BUCKETS; i++) {
            histogram[i] = histogram[i] * HISTOGRAM_DECAY + offered[i].sumThenReset();
            total += histogram[i];
        }
        cutoff = admittedShare >= 1 ? Cutoff.NONE : cutoff(total * admittedShare);
    }

    private Cutoff cutoff(double admittedCost) {
        double remainingCost = admittedCost;
        for (int i = BUCKETS - 1; i >= 0; i--) {
            if (histogram[i] > remainingCost) {
                return new Cutoff(i, remainingCost / histogram[i]);
            }
            remainingCost -= histogram[i];
        }
        return Cutoff.NONE;
    }

    private static int bucket(double worthPerCost) {
        double octaves = Math.log(worthPerCost) / LOG_2;
        int bucket = MIDDLE_BUCKET + (int) Math.floor(octaves * BUCKETS_PER_OCTAVE);
        return Math.max(0, Math.min(BUCKETS - 1, bucket));
    }

    private long windowNanos() {
        return TimeUnit.MILLISECONDS.toNanos(settings.windowMillis());
    }

    private record Cutoff(int bucket, double admittedFraction) {
        static final Cutoff NONE = new Cutoff(-1, 1);
    }
}

package io.masticfold.core.stage;

import io.masticfold.core.forward.StagePoolSpec;
import java.util.List;

/**
 * Sizes the calls to a stage server and estimates the waiting time of its queue. A result occupies storage at the
 * server until the whole request has been served, so that in a nearly full server the results of part of a request
 * block storage without letting the request finish. The pieces of a request are therefore sent in one call, unless they
 * exceed the batch size or the capacity of the server.
 */
public final class StageBatching {

    private StageBatching() {}

    /**
     * Returns the number of pieces at the head of the queue that the next call includes.
     *
     * @param requests request of each waiting piece, in the order of the queue
     * @param bytes result size of each waiting piece, in bytes
     * @param maxPieces largest number of pieces in one call
     * @param freeBytes free result storage of the server, in bytes
     * @param capacityBytes total result storage of the server, in bytes
     */
    public static int batchSize(
            List<String> requests, List<Long> bytes, int maxPieces, long freeBytes, long capacityBytes) {
        int size = 0;
        long remainingBytes = freeBytes;
        while (size < requests.size() && size < maxPieces) {
            int end = groupEnd(requests, size);
            long groupBytes = sum(bytes, size, end);
            boolean exceedsCapacity = groupBytes > capacityBytes;
            if (groupBytes > remainingBytes && !exceedsCapacity) {
                return size;
            }
            int taken = size;
            while (taken < end && taken < maxPieces && bytes.get(taken) <= remainingBytes) {
                remainingBytes -= bytes.get(taken);
                taken++;
            }
            if (taken < end) {
                return taken;
            }
            size = taken;
        }
        return size;
    }

    /**
     * Returns the estimated time until a server of nominal speed starts a new piece, in milliseconds. The pieces of a
     * partial batch count only with their own time, since the new piece joins that batch.
     *
     * @param pieces number of waiting pieces
     */
    public static double waitMillis(StagePoolSpec spec, int pieces) {
        int fullCalls = pieces / spec.maxPiecesPerCall();
        return fullCalls * spec.expectedCallMillis(spec.maxPiecesPerCall())
                + pieces % spec.maxPiecesPerCall() * spec.pieceMillis();
    }

    private static int groupEnd(List<String> requests, int start) {
        int end = start;
        while (end < requests.size() && requests.get(end).equals(requests.get(start))) {
            end++;
        }
        return end;
    }

    private static long sum(List<Long> bytes, int start, int end) {
        return bytes.subList(start, end).stream().mapToLong(Long::longValue).sum();
    }
}

package io.masticfold.core.stage;

import io.masticfold.core.forward.StagePoolSpec;
import java.util.List;

/**
 * Decides how many of the waiting pieces the next call of a stage server takes. Results take room until the whole
 * request has been served; where room is short, a part of a request's results would keep it without any use. A call
 * therefore takes the pieces of a request only together, unless they do not fit into one call or into the server.
 */
public final class BatchSupport {

    private BatchSupport() {}

    /**
     * Returns the number of pieces to take from the front.
     *
     * @param requests request of each waiting piece, in the order of the queue
     * @param bytes size of the result of each, in bytes
     * @param batch most pieces in one call
     * @param roomBytes room that is free now, in bytes
     * @param totalRoomBytes room of the server, in bytes
     */
    public static int size(List<String> requests, List<Long> bytes, int batch, long roomBytes, long totalRoomBytes) {
        int size = 0;
        long room = roomBytes;
        while (size < requests.size() && size < batch) {
            int end = groupEnd(requests, size);
            long groupBytes = sum(bytes, size, end);
            boolean fitsOnlyInParts = groupBytes > totalRoomBytes;
            if (groupBytes > room && !fitsOnlyInParts) {
                return size;
            }
            int taken = size;
            while (taken < end && taken < batch && bytes.get(taken) <= room) {
                room -= bytes.get(taken);
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
     * Returns the time that a server of usual speed needs before a new piece starts, in milliseconds. A call that is
     * not full yet takes the new piece along.
     *
     * @param pieces pieces that wait
     */
    public static double queueMillis(StagePoolSpec spec, int pieces) {
        int calls = pieces / spec.batch();
        return calls * spec.expectedMillis(spec.batch()) + pieces % spec.batch() * spec.pieceMillis();
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

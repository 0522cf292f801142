package io.masticfold.core.stage;

import io.masticfold.core.forward.StagePoolSpec;
import java.util.ArrayList;
import java.util.List;

/**
 * Assigns the waiting pieces of a pool to its servers. The plan is made anew whenever a server becomes free or pieces
 * arrive, and only the calls of free servers are taken from it. Load pattern: calls of a few hundred milliseconds with
 * a high fixed cost, at servers that are nearly always busy. A piece that is bound to one server when it arrives waits
 * for that server's call although others become free earlier, in particular when several gateways choose by the same
 * outdated backlogs.
 */
public final class StageCallPlan {

    private final List<List<Integer>> groupsByServer = new ArrayList<>();
    private final double[] startMillis;

    private StageCallPlan(int servers) {
        startMillis = new double[servers];
        for (int server = 0; server < servers; server++) {
            groupsByServer.add(new ArrayList<>());
        }
    }

    /**
     * Plans the calls to the servers of a pool.
     *
     * @param groups waiting groups of pieces in processing order
     * @param servers servers of the pool
     */
    public static StageCallPlan of(List<PieceGroup> groups, List<StageServerLoad> servers, StagePoolSpec spec) {
        StageCallPlan plan = new StageCallPlan(servers.size());
        int[] pieces = new int[servers.size()];
        long[] freeBytes =
                servers.stream().mapToLong(StageServerLoad::freeBytes).toArray();
        for (int i = 0; i < servers.size(); i++) {
            plan.startMillis[i] = servers.get(i).availableMillis();
        }
        for (int index = 0; index < groups.size(); index++) {
            PieceGroup group = groups.get(index);
            int best = -1;
            double lowestCost = Double.MAX_VALUE;
            for (int i = 0; i < servers.size(); i++) {
                StageServerLoad server = servers.get(i);
                if (group.server() != null && !group.server().equals(server.id())) {
                    continue;
                }
                double cost = plan.startMillis[i]
                        + server.slowdown() * spec.expectedCallMillis(group.pieces())
                        + StageServerSelection.placementMillis(
                                server.zone(), freeBytes[i], group.bytes(), group.zoneBytes(), group.spareMillis());
                if (best < 0 || cost < lowestCost) {
                    best = i;
                    lowestCost = cost;
                }
            }
            if (best >= 0) {
                StageServerLoad server = servers.get(best);
                plan.groupsByServer.get(best).add(index);
                pieces[best] += group.pieces();
                freeBytes[best] -= group.bytes();
                plan.startMillis[best] =
                        server.availableMillis() + server.slowdown() * StageBatching.waitMillis(spec, pieces[best]);
            }
        }
        return plan;
    }

    /**
     * Returns the indexes of the groups assigned to a server, in processing order.
     *
     * @param server index of the server
     */
    public List<Integer> groups(int server) {
        return List.copyOf(groupsByServer.get(server));
    }

    /**
     * Returns the time until a server would start a piece that arrives now, in milliseconds.
     *
     * @param server index of the server
     */
    public double startMillis(int server) {
        return startMillis[server];
    }
}

package io.masticfold.testkit.targets;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** Accepts or refuses orders by their fencing number. Not safe for several threads. */
final class OrderBook {

    private final boolean checksFencing;
    private final List<Order> orders = new ArrayList<>();
    private long highest;

    OrderBook(boolean checksFencing) {
        this.checksFencing = checksFencing;
    }

    Order add(long fencingNumber, long nowMillis, JsonNode body) {
        boolean accepted = !checksFencing || fencingNumber >= highest;
        highest = Math.max(highest, fencingNumber);
        Order order = new Order(fencingNumber, accepted, nowMillis, body);
        orders.add(order);
        return order;
    }

    long highest() {
        return highest;
    }

    List<Order> orders() {
        return List.copyOf(orders);
    }
}

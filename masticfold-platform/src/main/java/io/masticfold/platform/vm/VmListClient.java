package io.masticfold.platform.vm;

import io.masticfold.platform.http.HttpCall;
import io.masticfold.platform.http.HttpChannel;
import io.masticfold.platform.http.HttpResult;
import io.masticfold.platform.json.FieldReader;
import io.masticfold.platform.json.JsonDocument;
import io.masticfold.platform.json.JsonProblemException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** Client of the VM list. Unknown keys are ignored for forward compatibility. */
public final class VmListClient {

    private static final int OK = 200;

    private final HttpChannel channel;
    private final InetSocketAddress address;

    /**
     * Creates a client.
     *
     * @param channel HTTP channel for the calls; the caller starts and stops it
     * @param address numeric address of the VM list
     */
    public VmListClient(HttpChannel channel, InetSocketAddress address) {
        this.channel = channel;
        this.address = address;
    }

    /** Reads the list; the reply is delivered on the event loop of the channel. */
    public void list(Duration timeout, Consumer<VmListReply> reply) {
        channel.send(HttpCall.get(address, "/v1/vms"), timeout, result -> reply.accept(reply(result)));
    }

    private static VmListReply reply(HttpResult result) {
        if (!(result instanceof HttpResult.Answered answered)) {
            return new VmListReply.Unavailable(result.toString());
        }
        if (answered.status() != OK) {
            return new VmListReply.Unavailable("answered " + answered.status());
        }
        try {
            return new VmListReply.Listed(parse(answered.body()));
        } catch (JsonProblemException e) {
            return new VmListReply.Unavailable(e.getMessage());
        }
    }

    private static List<VmInfo> parse(String body) throws JsonProblemException {
        JsonDocument document = JsonDocument.parse("VM list", body);
        List<Optional<VmInfo>> vms =
                document.reader().objects("vms").stream().map(VmListClient::vm).toList();
        document.check();
        return vms.stream().flatMap(Optional::stream).toList();
    }

    private static Optional<VmInfo> vm(FieldReader fields) {
        String name = fields.text("name");
        String role = fields.text("role");
        String zone = fields.text("zone");
        InetSocketAddress address = fields.address("address");
        InetSocketAddress admin = fields.address("admin");
        VmState state = fields.choice("state", VmState.class);
        return fields.buildLenient(() -> new VmInfo(name, role, zone, address, admin, state));
    }
}

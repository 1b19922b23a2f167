package org.knapweedbank.jobs.owner;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import org.knapweedbank.jobs.WorkerId;
import org.knapweedbank.model.DaemonId;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Stored list of the VMs on which something may run. A VM gets orders only once the list in the
 * store names it, so that a later owner knows which VMs it must hear from before it starts again
 * what an earlier owner may have started.
 */
public final class VmList {
    private final Map<DaemonId, WorkerId> mWorkers = new HashMap<>();
    private long mVersion;
    private long mStoredVersion;
    private long mRevision;

    VmList() {}

    /**
     * Decodes the stored list.
     *
     * @param bytes the record, empty if there is none
     * @param revision its store revision, 0 if there is none
     * @return the list
     * @throws IOException when the bytes are malformed
     */
    static VmList decode(byte[] bytes, long revision) throws IOException {
        VmList list = new VmList();
        list.mRevision = revision;
        if (bytes.length == 0) {
            return list;
        }
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
            int count = in.unpackArrayHeader();
            for (int i = 0; i < count; i++) {
                DaemonId agent = new DaemonId(in.unpackString());
                list.mWorkers.put(agent, new WorkerId(in.unpackString(), in.unpackLong()));
            }
        } catch (RuntimeException e) {
            throw new IOException("malformed list of VMs", e);
        }
        return list;
    }

    /**
     * Encodes the list.
     *
     * @return the record
     */
    public byte[] encode() {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(mWorkers.size());
            for (Map.Entry<DaemonId, WorkerId> entry : mWorkers.entrySet()) {
                packer.packString(entry.getKey().value());
                packer.packString(entry.getValue().id());
                packer.packLong(entry.getValue().incarnation());
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("cannot encode the list of VMs", e);
        }
    }

    /**
     * Version that has to be stored.
     *
     * @return the version
     */
    public long version() {
        return mVersion;
    }

    /**
     * Store revision of the stored record.
     *
     * @return the revision, 0 if there is none
     */
    public long revision() {
        return mRevision;
    }

    /**
     * Tells whether the list has changed since it was stored.
     *
     * @return true if it has to be written
     */
    public boolean dirty() {
        return mStoredVersion < mVersion;
    }

    Map<DaemonId, WorkerId> workers() {
        return Map.copyOf(mWorkers);
    }

    boolean names(DaemonId agent, WorkerId worker) {
        return worker.equals(mWorkers.get(agent));
    }

    void put(DaemonId agent, WorkerId worker) {
        if (!worker.equals(mWorkers.put(agent, worker))) {
            mVersion++;
        }
    }

    void remove(DaemonId agent) {
        if (mWorkers.remove(agent) != null) {
            mVersion++;
        }
    }

    void written(long version, long revision) {
        mStoredVersion = Math.max(mStoredVersion, version);
        mRevision = revision;
    }
}

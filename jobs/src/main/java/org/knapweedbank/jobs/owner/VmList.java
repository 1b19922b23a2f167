package org.knapweedbank.jobs.owner;

import java.io.IOException;
import java.time.Duration;
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
    private final Map<DaemonId, ListedVm> mVms = new HashMap<>();

    /** Versions that no longer name the silence of a VM that was heard from. */
    private final Map<DaemonId, Long> mHeardVersions = new HashMap<>();

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
                WorkerId worker = new WorkerId(in.unpackString(), in.unpackLong());
                list.mVms.put(agent, new ListedVm(worker, Duration.ofMillis(in.unpackLong())));
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
            packer.packArrayHeader(mVms.size());
            for (Map.Entry<DaemonId, ListedVm> entry : mVms.entrySet()) {
                ListedVm vm = entry.getValue();
                packer.packString(entry.getKey().value());
                packer.packString(vm.worker().id());
                packer.packLong(vm.worker().incarnation());
                packer.packLong(vm.silence().toMillis());
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

    Map<DaemonId, ListedVm> vms() {
        return Map.copyOf(mVms);
    }

    boolean names(DaemonId agent, WorkerId worker) {
        ListedVm vm = mVms.get(agent);
        return vm != null && vm.worker().equals(worker);
    }

    /** Lists a VM that the owner has heard from. */
    void put(DaemonId agent, WorkerId worker) {
        ListedVm vm = new ListedVm(worker, Duration.ZERO);
        ListedVm former = mVms.put(agent, vm);
        if (vm.equals(former)) {
            return;
        }
        mVersion++;
        if (former != null && !former.silence().isZero()) {
            mHeardVersions.put(agent, mVersion);
        }
    }

    /** Sets the time in which nobody has heard from a VM. */
    void silent(DaemonId agent, Duration silence) {
        ListedVm vm = mVms.get(agent);
        if (vm != null && !vm.silence().equals(silence)) {
            mVms.put(agent, new ListedVm(vm.worker(), silence));
            mVersion++;
        }
    }

    /**
     * Tells whether the stored list may name a silence of the VM. A VM that is answered then would
     * be taken for gone too early by a later owner.
     */
    boolean storedAsSilent(DaemonId agent) {
        ListedVm vm = mVms.get(agent);
        boolean silent = vm != null && !vm.silence().isZero();
        return silent || mHeardVersions.getOrDefault(agent, 0L) > mStoredVersion;
    }

    void remove(DaemonId agent) {
        if (mVms.remove(agent) != null) {
            mVersion++;
        }
    }

    void written(long version, long revision) {
        mStoredVersion = Math.max(mStoredVersion, version);
        mRevision = revision;
    }
}

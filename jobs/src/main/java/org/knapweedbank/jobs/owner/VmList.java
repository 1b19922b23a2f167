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
 * Stored list of the VMs on which tasks may run. A VM gets start orders only once the stored list
 * contains it. So a later owner knows which VMs have to report before it restarts tasks that an
 * earlier owner may have started.
 */
public final class VmList {
    /**
     * Entry for all VMs of a record that could not be read. It is stored like that of a VM which
     * does not report, so that a later owner waits for these VMs too.
     */
    private static final DaemonId UNREADABLE_VMS = new DaemonId("(unreadable)");

    private final Map<DaemonId, ListedVm> mVms = new HashMap<>();

    /**
     * List version, by VM, from which on a VM that has reported again is no longer listed as
     * unreachable.
     */
    private final Map<DaemonId, Long> mReachableVersions = new HashMap<>();

    /**
     * List version, by VM, from which on the list has held the VM with its present worker as
     * reachable; none for an unchanged entry of an earlier owner.
     */
    private final Map<DaemonId, Long> mListedVersions = new HashMap<>();

    private long mVersion;
    private long mStoredVersion;
    private long mRevision;

    VmList() {}

    /**
     * Returns a list in place of a stored record that can't be read. Any VM may run tasks that an
     * earlier owner has started.
     *
     * @param revision store revision of the record
     * @return the list
     */
    public static VmList unreadable(long revision) {
        VmList list = new VmList();
        list.mRevision = revision;
        list.put(UNREADABLE_VMS, new WorkerId(UNREADABLE_VMS.value(), 0));
        return list;
    }

    /**
     * Decodes the stored list.
     *
     * @param bytes the record, empty if there is none
     * @param revision store revision of the record, 0 if there is none
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
            throw new IOException("malformed VM list record", e);
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
                packer.packLong(vm.unreachableFor().toMillis());
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("cannot encode the VM list", e);
        }
    }

    /**
     * Returns the current version, which has to be stored.
     *
     * @return the version
     */
    public long version() {
        return mVersion;
    }

    /**
     * Returns the store revision of the stored record.
     *
     * @return the revision, 0 if there is none
     */
    public long revision() {
        return mRevision;
    }

    /**
     * Returns whether the list has changed since it was stored.
     *
     * @return true if it has to be written
     */
    public boolean dirty() {
        return mStoredVersion < mVersion;
    }

    Map<DaemonId, ListedVm> vms() {
        return Map.copyOf(mVms);
    }

    private boolean contains(DaemonId agent, WorkerId worker) {
        ListedVm vm = mVms.get(agent);
        return vm != null && vm.worker().equals(worker);
    }

    /**
     * Returns whether the stored list holds a VM with the given worker. This does not require that
     * the newest version is stored: while VMs come and go, the list may change during each write.
     */
    boolean isStored(DaemonId agent, WorkerId worker) {
        return contains(agent, worker) && mListedVersions.getOrDefault(agent, 0L) <= mStoredVersion;
    }

    /** Adds a VM that has reported to the owner. */
    void put(DaemonId agent, WorkerId worker) {
        ListedVm vm = new ListedVm(worker, Duration.ZERO);
        ListedVm previous = mVms.put(agent, vm);
        if (vm.equals(previous)) {
            return;
        }
        mVersion++;
        mListedVersions.put(agent, mVersion);
        if (previous != null && !previous.unreachableFor().isZero()) {
            mReachableVersions.put(agent, mVersion);
        }
    }

    /** Sets how long a listed VM has been unreachable. */
    void setUnreachableFor(DaemonId agent, Duration unreachableFor) {
        ListedVm vm = mVms.get(agent);
        if (vm != null && !vm.unreachableFor().equals(unreachableFor)) {
            mVms.put(agent, new ListedVm(vm.worker(), unreachableFor));
            mVersion++;
        }
    }

    /** Returns whether the list holds an unreachable time for the VM. */
    boolean isUnreachable(DaemonId agent) {
        ListedVm vm = mVms.get(agent);
        return vm != null && !vm.unreachableFor().isZero();
    }

    /**
     * Returns whether the stored list may hold an unreachable time for the VM. If such a VM were
     * answered, a later owner would regard its leases as expired too early.
     */
    boolean mayBeStoredUnreachable(DaemonId agent) {
        return isUnreachable(agent) || mReachableVersions.getOrDefault(agent, 0L) > mStoredVersion;
    }

    void remove(DaemonId agent) {
        if (mVms.remove(agent) != null) {
            mVersion++;
        }
    }

    void markWritten(long version, long revision) {
        mStoredVersion = Math.max(mStoredVersion, version);
        mRevision = revision;
    }
}

package org.knapweedbank.soak;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Carries out planned faults, each on a thread of its own since it lasts until it is undone. */
final class FaultPlayer implements AutoCloseable {
    private static final int THREADS = 32;

    private final Deployment mDeployment;
    private final Consumer<String> mLog;
    private final ScheduledExecutorService mTimer =
            Executors.newScheduledThreadPool(THREADS, Thread.ofPlatform().daemon().factory());
    private CountDownLatch mLeft = new CountDownLatch(0);

    FaultPlayer(Deployment deployment, Consumer<String> log) {
        mDeployment = deployment;
        mLog = log;
    }

    void start(List<PlannedFault> faults) {
        mLeft = new CountDownLatch(faults.size());
        for (PlannedFault planned : faults) {
            mTimer.schedule(
                    () -> playLogged(planned.fault()), planned.atMillis(), TimeUnit.MILLISECONDS);
        }
    }

    /** Waits until all faults have been played and undone. */
    void await() throws InterruptedException {
        mLeft.await();
    }

    @Override
    public void close() {
        mTimer.shutdownNow();
    }

    private void playLogged(Fault fault) {
        try {
            mLog.accept(fault.toString());
            play(fault);
        } catch (IOException e) {
            mLog.accept("fault not played: " + fault + ": " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            mLeft.countDown();
        }
    }

    private void play(Fault fault) throws IOException, InterruptedException {
        switch (fault) {
            case Fault.WorkerRestart restart -> {
                WorkerStandIn worker = mDeployment.worker(restart.worker());
                if (worker.crash()) {
                    sleep(restart.downMillis());
                    worker.start(restart.firstReportMillis());
                }
            }
            case Fault.WorkerFailures failures -> {
                mDeployment.worker(failures.worker()).failFor(failures.millis());
                sleep(failures.millis());
            }
            case Fault.WorkerDeparture departure -> {
                WorkerStandIn worker = mDeployment.worker(departure.worker());
                if (worker.leave(departure.confirmed())) {
                    sleep(departure.downMillis());
                    worker.start(0);
                }
            }
            case Fault.DataCentreLoss loss -> loseDataCentre(loss);
            case Fault.SilentConnections ignored ->
                    mDeployment.proxies().forEach(proxy -> proxy.silence(1));
            case Fault.OwnerEnd end ->
                    endAndRestart(mDeployment.owner(), end.signal(), end.downMillis());
            case Fault.AgentKill kill ->
                    endAndRestart(
                            mDeployment.agent(kill.agent()), ProcessSignal.KILL, kill.downMillis());
            case Fault.Pause pause -> {
                RoleProcess process =
                        pause.owner() ? mDeployment.owner() : mDeployment.agent(pause.agent());
                process.signal(ProcessSignal.STOP);
                sleep(pause.millis());
                process.signal(ProcessSignal.CONT);
            }
            case Fault.WorkerDelay delay -> {
                Proxy proxy = mDeployment.workerProxy(delay.worker());
                proxy.setDelays(delay.delays());
                sleep(delay.millis());
                proxy.setDelays(ProxyDelays.NONE);
            }
            case Fault.WorkerCut cut ->
                    cut(mDeployment.workerProxy(cut.worker()), cut.reset(), cut.share());
            case Fault.StoreCut cut -> cut(mDeployment.storeProxy(cut.process()), cut.reset(), 1);
            case Fault.StoreOutage outage -> {
                mDeployment.store().setMode(outage.mode());
                sleep(outage.millis());
                mDeployment.store().setMode(StoreStandIn.Mode.NORMAL);
            }
        }
    }

    private void loseDataCentre(Fault.DataCentreLoss loss)
            throws IOException, InterruptedException {
        RoleProcess owner = mDeployment.owner();
        RoleProcess agent = mDeployment.agent(loss.worker());
        WorkerStandIn worker = mDeployment.worker(loss.worker());
        boolean workerWasUp = worker.crash();
        agent.end(ProcessSignal.KILL, Deployment.STOP_GRACE);
        owner.end(ProcessSignal.KILL, Deployment.STOP_GRACE);
        sleep(loss.downMillis());
        owner.start();
        agent.start();
        if (workerWasUp) {
            worker.start(0);
        }
    }

    private static void cut(Proxy proxy, boolean reset, double share) {
        if (reset) {
            proxy.reset(share);
        } else {
            proxy.silence(share);
        }
    }

    private static void endAndRestart(RoleProcess process, ProcessSignal signal, long downMillis)
            throws IOException, InterruptedException {
        process.end(signal, Deployment.STOP_GRACE);
        sleep(downMillis);
        process.start();
    }

    private static void sleep(long millis) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(millis);
    }
}

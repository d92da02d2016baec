package org.guavagw.internal.membership;

import com.google.common.base.Ticker;
import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Collectors;
import org.guavagw.platform.PlatformFailure;
import org.guavagw.platform.Vm;
import org.guavagw.platform.VmList;

/**
 * Reads the platform's list of VMs and turns it into member records.
 *
 * <p>Invariants: listed VMs are added as members, and unlisted members of this data centre that are
 * not alive are removed after a delay; a member that answers is never removed, and a failed read
 * changes nothing. Reads run on the blocking executor, everything else on the control thread.
 */
final class VmListReader {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final VmList vmList;
  private final MemberRecords records;
  private final GossipSettings settings;
  private final Executor blocking;
  private final Executor control;
  private final Ticker ticker;
  private final Map<String, Long> absentSinceNs = new HashMap<>();
  private final AtomicBoolean reading = new AtomicBoolean();

  VmListReader(
      VmList vmList,
      MemberRecords records,
      GossipSettings settings,
      Executor blocking,
      Executor control,
      Ticker ticker) {
    this.vmList = vmList;
    this.records = records;
    this.settings = settings;
    this.blocking = blocking;
    this.control = control;
    this.ticker = ticker;
  }

  /** Starts a read unless one is in progress. */
  void read() {
    if (reading.compareAndSet(false, true)) {
      blocking.execute(this::readBlocking);
    }
  }

  private void readBlocking() {
    try {
      Either<PlatformFailure, List<Vm>> vms = vmList.vms();
      if (vms.isRight()) {
        control.execute(() -> update(vms.get()));
      }
    } catch (RuntimeException e) {
      logger.atWarning().withCause(e).log("reading the list of VMs failed");
    } finally {
      reading.set(false);
    }
  }

  /** Updates the member records from a list of VMs. */
  void update(List<Vm> vms) {
    vms.forEach(this::applyListed);
    Set<String> listed = vms.stream().map(Vm::id).collect(Collectors.toSet());
    absentSinceNs.keySet().removeAll(listed);
    records.present().stream().filter(r -> !listed.contains(r.id())).forEach(this::onAbsent);
  }

  private void applyListed(Vm vm) {
    Optional<MemberRecord> known = records.table().get(vm.id());
    MemberRecord record =
        known.orElseGet(
            () ->
                new MemberRecord(
                    vm.id(),
                    vm.dataCentre(),
                    vm.host(),
                    vm.controlPort(),
                    0,
                    0,
                    MemberState.ALIVE,
                    false));
    MemberState state = vm.leaving() ? MemberState.LEAVING : record.state();
    records.applyIfNewer(record.withState(state), Optional.empty());
  }

  private void onAbsent(MemberRecord record) {
    boolean isLocal = record.dataCentre().equals(records.self().dataCentre());
    boolean isAlive = record.state() == MemberState.ALIVE && record.incarnation() > 0;
    if (!isLocal || isAlive) {
      absentSinceNs.remove(record.id());
      return;
    }
    long since = absentSinceNs.computeIfAbsent(record.id(), id -> ticker.read());
    if (ticker.read() - since >= settings.removalDelay().toNanos()) {
      absentSinceNs.remove(record.id());
      records.applyIfNewer(record.asGone(), Optional.empty());
    }
  }
}

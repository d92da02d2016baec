package org.guavagw.internal.membership;

import com.codahale.metrics.MetricRegistry;
import com.google.common.base.Ticker;
import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.guavagw.internal.peer.PeerAddress;
import org.guavagw.internal.peer.PeerAddresses;
import org.guavagw.internal.peer.PeerCodec;
import org.guavagw.internal.peer.PeerNetwork;
import org.guavagw.platform.Vm;
import org.guavagw.platform.VmList;

/**
 * Membership based on heartbeats to a few peers; changes are gossiped as deltas.
 *
 * <p>Invariants: only an entry of the same data centre may publish that a member is suspect.
 * Members of a data centre that sends no summaries are suspect in this entry's local view only, and
 * become alive in it again with the next summary. An entry without contact to any peer suspects all
 * others in its local view and publishes no suspicion. State is confined to the control thread; the
 * view is an immutable list.
 */
public final class GossipMembership implements Membership {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final double JITTER = 0.2;
  private static final int PROBE_INTERVAL_TICKS = 10;
  private static final int VM_LIST_READERS_PER_DATA_CENTRE = 2;

  private final PeerAddresses addresses;
  private final GossipSettings settings;
  private final ScheduledExecutorService control;
  private final RandomGenerator random;
  private final Ticker ticker;
  private final MemberRecords records;
  private final SummarySection summaries;
  private final HeartbeatProtocol heartbeats;
  private final VmListReader vmList;
  private final List<Consumer<List<Member>>> listeners = new CopyOnWriteArrayList<>();
  private volatile DataCentreSummarizer summarizer =
      (dataCentre, beat, members) ->
          new DataCentreSummary(dataCentre, beat, members.size(), 0, List.of());
  private volatile List<Member> view = List.of();
  private volatile Member self;
  private volatile ScheduledFuture<?> nextTick;
  private volatile boolean closed;
  private Optional<String> probedMember = Optional.empty();
  private long tickCount;
  private long lastTickNs;
  private long lastSummaryNs;
  private long lastVmListReadNs;

  public GossipMembership(
      Vm vm,
      PeerNetwork network,
      PeerAddresses addresses,
      VmList vmList,
      GossipSettings settings,
      ScheduledExecutorService control,
      ScheduledExecutorService blocking,
      Ticker ticker,
      RandomGenerator random,
      MetricRegistry metrics) {
    this.addresses = addresses;
    this.settings = settings;
    this.control = control;
    this.random = random;
    this.ticker = ticker;
    PeerCodec codec = new PeerCodec();
    MemberRecord record = initialRecord(vm, network.self().incarnation());
    this.records = new MemberRecords(record, this::refreshView);
    this.self = record.toMember(false);
    this.summaries = new SummarySection(codec, ticker);
    this.heartbeats =
        new HeartbeatProtocol(
            network,
            settings,
            control,
            ticker,
            this::sameDataCentre,
            this::onUnresponsive,
            metrics);
    heartbeats.add(new MemberSection(records, codec, ticker));
    heartbeats.add(summaries);
    this.vmList = new VmListReader(vmList, records, settings, blocking, control, ticker);
  }

  private static MemberRecord initialRecord(Vm vm, long incarnation) {
    return new MemberRecord(
        vm.id(),
        vm.dataCentre(),
        vm.host(),
        vm.controlPort(),
        incarnation,
        1,
        MemberState.ALIVE,
        false);
  }

  /** Adds a section to the heartbeats; call before {@link #start}. */
  public void add(GossipSection section) {
    heartbeats.add(section);
  }

  /** Sets what creates the summary of this data centre; call before {@link #start}. */
  public void setSummarizer(DataCentreSummarizer newSummarizer) {
    summarizer = newSummarizer;
  }

  /** Returns the newest summary of each data centre. */
  public List<DataCentreSummary> summaries() {
    return summaries.summaries();
  }

  /** Starts with the given members, in case the platform's list of VMs cannot be read. */
  public void start(List<Vm> seeds) {
    control.execute(
        () -> {
          lastTickNs = ticker.read();
          lastSummaryNs = lastTickNs;
          lastVmListReadNs = lastTickNs;
          seeds.forEach(this::addSeed);
          vmList.read();
          heartbeats.start();
          refreshView();
          tick();
        });
  }

  private void addSeed(Vm seed) {
    if (records.table().get(seed.id()).isEmpty()) {
      records.applyIfNewer(
          initialRecord(seed, 0).withVersion(0, MemberState.ALIVE), Optional.empty());
    }
  }

  private void tick() {
    if (closed) {
      return;
    }
    try {
      runTick();
    } catch (RuntimeException e) {
      logger.atWarning().withCause(e).log("heartbeat round failed");
    }
    long meanMs = settings.heartbeatInterval().toMillis();
    double factor = 1 + JITTER * (random.nextDouble() - 0.5);
    nextTick = control.schedule(this::tick, (long) (meanMs * factor), TimeUnit.MILLISECONDS);
  }

  private void runTick() {
    long now = ticker.read();
    if (now - lastTickNs > 2 * settings.heartbeatInterval().toNanos()) {
      heartbeats.resetMissedCounts();
    }
    lastTickNs = now;
    tickCount++;
    refreshView();
    Set<String> peers = HeartbeatPeerSelector.select(self, view);
    chooseMemberToProbe();
    probedMember.ifPresent(peers::add);
    heartbeats.sendHeartbeats(peers);
    readVmListIfAssigned(now);
    publishSummaryIfAssigned(now);
  }

  private void chooseMemberToProbe() {
    if (tickCount % PROBE_INTERVAL_TICKS != 0) {
      return;
    }
    List<String> unresponsive =
        view.stream()
            .filter(m -> m.state() == MemberState.SUSPECT && !m.id().equals(self.id()))
            .map(Member::id)
            .toList();
    probedMember =
        unresponsive.isEmpty()
            ? Optional.empty()
            : Optional.of(unresponsive.get(random.nextInt(unresponsive.size())));
  }

  private void readVmListIfAssigned(long now) {
    boolean due = now - lastVmListReadNs >= settings.vmListInterval().toNanos();
    if (due && (isAssigned("vm-list", VM_LIST_READERS_PER_DATA_CENTRE) || view.size() == 1)) {
      lastVmListReadNs = now;
      vmList.read();
    }
  }

  private void publishSummaryIfAssigned(long now) {
    if (!isAssigned("summary", 1)) {
      return;
    }
    String dataCentre = self.dataCentre();
    List<Member> localMembers =
        view.stream().filter(m -> m.dataCentre().equals(dataCentre)).toList();
    long beat = summaries.lastBeat(dataCentre) + 1;
    DataCentreSummary next = summarizer.summarize(dataCentre, beat, localMembers);
    boolean changed = summaries.summary(dataCentre).filter(next::hasSameContent).isEmpty();
    boolean due = now - lastSummaryNs >= settings.summaryInterval().toNanos();
    if (changed || due) {
      lastSummaryNs = now;
      summaries.publish(next);
    }
  }

  /**
   * Returns whether this entry is among the {@code count} entries of its data centre to which
   * rendezvous hashing assigns a task; control thread only.
   */
  public boolean isAssigned(String task, int count) {
    String dataCentre = self.dataCentre();
    List<String> alive = alive(dataCentre).stream().map(Member::id).toList();
    return RendezvousHashing.pick(task + "/" + dataCentre, alive, count).contains(self.id());
  }

  /** Returns the peers to which this entry sends heartbeats; control thread only. */
  public Set<String> heartbeatPeers() {
    return heartbeats.peers();
  }

  /** Returns whether a member is known to be in this entry's data centre. */
  public boolean sameDataCentre(String memberId) {
    return records
        .table()
        .get(memberId)
        .map(r -> r.dataCentre().equals(records.self().dataCentre()))
        .orElse(false);
  }

  private void onUnresponsive(String memberId) {
    if (!sameDataCentre(memberId) || !heartbeats.hasContact()) {
      return;
    }
    records
        .table()
        .get(memberId)
        .filter(r -> r.state() == MemberState.ALIVE && !r.gone())
        .ifPresent(r -> records.applyIfNewer(r.withState(MemberState.SUSPECT), Optional.empty()));
  }

  private void refreshView() {
    Set<String> unresponsive = unresponsiveDataCentres();
    String selfId = records.self().id();
    List<Member> next = new ArrayList<>();
    for (MemberRecord record : records.present()) {
      boolean isOther = !record.id().equals(selfId);
      next.add(record.toMember(isOther && unresponsive.contains(record.dataCentre())));
      addresses.put(record.id(), new PeerAddress(record.host(), record.controlPort()));
    }
    next.sort(Comparator.comparing(Member::id));
    self = records.self().toMember(false);
    if (next.equals(view)) {
      return;
    }
    view = List.copyOf(next);
    listeners.forEach(l -> l.accept(view));
  }

  private Set<String> unresponsiveDataCentres() {
    Set<String> dataCentres =
        records.present().stream()
            .map(MemberRecord::dataCentre)
            .collect(Collectors.toCollection(TreeSet::new));
    return dataCentres.stream().filter(this::isUnresponsive).collect(Collectors.toSet());
  }

  private boolean isUnresponsive(String dataCentre) {
    if (dataCentre.equals(records.self().dataCentre())) {
      return !heartbeats.hasContact();
    }
    return summaries.timeSinceUpdateNs(dataCentre) > settings.dataCentreTimeout().toNanos();
  }

  @Override
  public Member self() {
    return self;
  }

  @Override
  public List<Member> members() {
    return view;
  }

  @Override
  public void onChange(Consumer<List<Member>> listener) {
    listeners.add(listener);
  }

  @Override
  public void leave() {
    control.execute(
        () -> {
          records.announce(MemberState.LEAVING);
          heartbeats.sendHeartbeats(HeartbeatPeerSelector.select(self, view));
        });
  }

  @Override
  public void close() {
    closed = true;
    ScheduledFuture<?> tick = nextTick;
    if (tick != null) {
      tick.cancel(false);
    }
  }
}

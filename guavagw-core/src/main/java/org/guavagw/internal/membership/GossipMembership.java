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
 * Membership by heartbeats to a few peers, with changes spread as deltas.
 *
 * <p>Invariants: only a member of the same data centre may call one suspect for all; members of a
 * data centre from which no summary comes are suspect in this entry's own view only, and are alive
 * in it again with the next summary. An entry that hears no one suspects all others in its own
 * view, and no one for all. State belongs to the control thread; the view is an immutable list.
 */
public final class GossipMembership implements Membership {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final double JITTER = 0.2;
  private static final int PROBE_TICKS = 10;
  private static final int READERS_PER_DATA_CENTRE = 2;

  private final PeerAddresses addresses;
  private final GossipSettings settings;
  private final ScheduledExecutorService control;
  private final RandomGenerator random;
  private final Ticker ticker;
  private final MemberRecords records;
  private final SummarySection summaries;
  private final HeartbeatExchange exchange;
  private final VmListReader vmList;
  private final List<Consumer<List<Member>>> listeners = new CopyOnWriteArrayList<>();
  private volatile SummaryMaker summaryMaker =
      (dc, beat, members) -> new DataCentreSummary(dc, beat, members.size(), 0, List.of());
  private volatile List<Member> view = List.of();
  private volatile Member self;
  private volatile ScheduledFuture<?> nextTick;
  private volatile boolean closed;
  private Optional<String> probed = Optional.empty();
  private long ticks;
  private long tickedAtNs;
  private long summarizedAtNs;
  private long listedAtNs;

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
    MemberRecord record = selfRecord(vm, network.self().incarnation());
    this.records = new MemberRecords(record, this::refresh);
    this.self = record.toMember(false);
    this.summaries = new SummarySection(codec, ticker);
    this.exchange =
        new HeartbeatExchange(
            network, settings, control, ticker, this::sameDataCentre, this::unresponsive, metrics);
    exchange.add(new MemberSection(records, codec, ticker));
    exchange.add(summaries);
    this.vmList = new VmListReader(vmList, records, settings, blocking, control, ticker);
  }

  private static MemberRecord selfRecord(Vm vm, long incarnation) {
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

  /** Adds state that spreads with the heartbeats; call before {@link #start}. */
  public void add(GossipSection section) {
    exchange.add(section);
  }

  /** Sets who sums up this data centre when this entry is chosen to; call before the start. */
  public void summarizeWith(SummaryMaker maker) {
    summaryMaker = maker;
  }

  /** The newest summary of each data centre. */
  public List<DataCentreSummary> summaries() {
    return summaries.summaries();
  }

  /** Starts with members that the settings name, in case the platform's list cannot be read. */
  public void start(List<Vm> seeds) {
    control.execute(
        () -> {
          tickedAtNs = ticker.read();
          summarizedAtNs = tickedAtNs;
          listedAtNs = tickedAtNs;
          seeds.forEach(this::learnSeed);
          vmList.read();
          exchange.start();
          refresh();
          tick();
        });
  }

  private void learnSeed(Vm seed) {
    if (records.table().get(seed.id()).isEmpty()) {
      records.learn(selfRecord(seed, 0).withVersion(0, MemberState.ALIVE), Optional.empty());
    }
  }

  private void tick() {
    if (closed) {
      return;
    }
    try {
      tickNow();
    } catch (RuntimeException e) {
      logger.atWarning().withCause(e).log("heartbeat round failed");
    }
    long meanMs = settings.heartbeatInterval().toMillis();
    double factor = 1 + JITTER * (random.nextDouble() - 0.5);
    nextTick = control.schedule(this::tick, (long) (meanMs * factor), TimeUnit.MILLISECONDS);
  }

  private void tickNow() {
    long now = ticker.read();
    if (now - tickedAtNs > 2 * settings.heartbeatInterval().toNanos()) {
      exchange.forgive();
    }
    tickedAtNs = now;
    ticks++;
    refresh();
    Set<String> peers = LinkPlan.peers(self, view);
    chooseProbe();
    probed.ifPresent(peers::add);
    exchange.beat(peers);
    readListIfChosen(now);
    summarizeIfChosen(now);
  }

  private void chooseProbe() {
    if (ticks % PROBE_TICKS != 0) {
      return;
    }
    List<String> silent =
        view.stream()
            .filter(m -> m.state() == MemberState.SUSPECT && !m.id().equals(self.id()))
            .map(Member::id)
            .toList();
    probed =
        silent.isEmpty()
            ? Optional.empty()
            : Optional.of(silent.get(random.nextInt(silent.size())));
  }

  private void readListIfChosen(long now) {
    boolean due = now - listedAtNs >= settings.vmListInterval().toNanos();
    if (due && (isChosen("vm-list", READERS_PER_DATA_CENTRE) || view.size() == 1)) {
      listedAtNs = now;
      vmList.read();
    }
  }

  private void summarizeIfChosen(long now) {
    if (!isChosen("summary", 1)) {
      return;
    }
    String dataCentre = self.dataCentre();
    List<Member> here = view.stream().filter(m -> m.dataCentre().equals(dataCentre)).toList();
    long beat = summaries.beat(dataCentre) + 1;
    DataCentreSummary next = summaryMaker.summarize(dataCentre, beat, here);
    boolean news = summaries.summary(dataCentre).filter(next::saysTheSame).isEmpty();
    boolean due = now - summarizedAtNs >= settings.summaryInterval().toNanos();
    if (news || due) {
      summarizedAtNs = now;
      summaries.publish(next);
    }
  }

  /** Whether this entry is among the first of its data centre for a task; control thread only. */
  public boolean isChosen(String task, int count) {
    String dataCentre = self.dataCentre();
    List<String> alive = alive(dataCentre).stream().map(Member::id).toList();
    return Rendezvous.pick(task + "/" + dataCentre, alive, count).contains(self.id());
  }

  /** Peers that get heartbeats from this entry now; control thread only. */
  public Set<String> heartbeatPeers() {
    return exchange.peers();
  }

  /** Whether a member is known to be in this entry's data centre. */
  public boolean sameDataCentre(String memberId) {
    return records
        .table()
        .get(memberId)
        .map(r -> r.dataCentre().equals(records.self().dataCentre()))
        .orElse(false);
  }

  private void unresponsive(String memberId) {
    if (!sameDataCentre(memberId) || !exchange.hearsAnyone()) {
      return;
    }
    records
        .table()
        .get(memberId)
        .filter(r -> r.state() == MemberState.ALIVE && !r.gone())
        .ifPresent(r -> records.learn(r.withState(MemberState.SUSPECT), Optional.empty()));
  }

  private void refresh() {
    Set<String> silent = silentDataCentres();
    String selfId = records.self().id();
    List<Member> next = new ArrayList<>();
    for (MemberRecord record : records.present()) {
      boolean other = !record.id().equals(selfId);
      next.add(record.toMember(other && silent.contains(record.dataCentre())));
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

  private Set<String> silentDataCentres() {
    Set<String> dataCentres =
        records.present().stream()
            .map(MemberRecord::dataCentre)
            .collect(Collectors.toCollection(TreeSet::new));
    return dataCentres.stream().filter(this::isSilent).collect(Collectors.toSet());
  }

  private boolean isSilent(String dataCentre) {
    if (dataCentre.equals(records.self().dataCentre())) {
      return !exchange.hearsAnyone();
    }
    return summaries.silenceNs(dataCentre) > settings.dataCentreTimeout().toNanos();
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
          exchange.beat(LinkPlan.peers(self, view));
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

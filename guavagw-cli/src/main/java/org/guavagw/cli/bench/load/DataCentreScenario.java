package org.guavagw.cli.bench.load;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import org.guavagw.cli.bench.Figure;
import org.guavagw.cli.bench.TargetResult;
import org.guavagw.cli.bench.load.CallerLog.CompletedRequest;
import org.guavagw.internal.limits.RequestClass;

/** A data centre is taken out of service, its engines restart, and it returns to service. */
final class DataCentreScenario extends LoadScenario {
  private static final LoadLevel LEVEL = new LoadLevel(0.10, 0.20);
  private static final int WARM_UP_S = 60;
  private static final int OUT_S = 240;
  private static final int OUT_IN_FORCE_S = 243;
  private static final int RESTART_S = 360;
  private static final int BACK_S = 480;
  private static final int TRAFFIC_END_S = 780;
  private static final int END_S = 1_500;
  private static final double MIN_SERVED = 0.999;

  @Override
  public String name() {
    return "load-data-centre";
  }

  @Override
  String axis() {
    return "p99 of interactive requests (s)";
  }

  @Override
  RouterResult measure(
      SimulatedTopology topology, EngineModel model, ComparedRouter router, long seed) {
    Duration duration = Duration.ofSeconds(END_S);
    LoadSimulation simulation = new LoadSimulation(topology, model, router, seed, duration);
    simulation.add(LEVEL.interactiveTraffic(topology, model, DataCentreScenario::shape, 1), seed);
    simulation.add(
        LEVEL.longTraffic(topology, model, DataCentreScenario::shape, 1, duration), seed + 1);
    String outDataCentre = topology.dataCentres().get(0);
    long[] submitted = new long[2];
    VirtualTimeScheduler scheduler = simulation.scheduler();
    scheduler.at(nanos(OUT_S), () -> simulation.setDataCentreOut(outDataCentre));
    scheduler.at(nanos(OUT_IN_FORCE_S), () -> submitted[0] = submitted(simulation, outDataCentre));
    scheduler.at(
        nanos(RESTART_S),
        () -> engines(simulation, outDataCentre).forEach(SimulatedEngine::restart));
    scheduler.at(nanos(BACK_S), () -> submitted[1] = submitted(simulation, outDataCentre));
    scheduler.at(nanos(BACK_S), () -> simulation.setDataCentreOut(""));
    simulation.run();
    return measured(simulation, (double) (submitted[1] - submitted[0]));
  }

  private RouterResult measured(LoadSimulation simulation, double submittedWhileOut) {
    CallerLog log = simulation.log();
    List<CompletedRequest> interactive =
        log.arrivedBetween(RequestClass.INTERACTIVE, WARM_UP_S, TRAFFIC_END_S);
    List<CompletedRequest> whileOut = log.arrivedBetween(RequestClass.INTERACTIVE, OUT_S, BACK_S);
    double longShare = CallerLog.servedShare(log.completed(RequestClass.LONG, t -> true));
    double served = CallerLog.servedShare(interactive);
    Collection<SimulatedEngine> engines = simulation.fleet().engines();
    double refusals = (double) engines.stream().mapToLong(SimulatedEngine::refused).sum();
    int peak = engines.stream().mapToInt(SimulatedEngine::peakWaiting).max().orElse(0);
    List<Figure> figures =
        List.of(
            new Figure("interactive served", served, ""),
            new Figure("p99 while out", CallerLog.p99Seconds(whileOut), "s"),
            new Figure("long completed", longShare, ""),
            new Figure("refused by engines", refusals, ""),
            new Figure("longest engine queue", peak, ""),
            new Figure("sent to the data centre while out", submittedWhileOut, ""));
    List<TargetResult> targets =
        List.of(
            TargetResult.atLeast("interactive served through leave and return", MIN_SERVED, served),
            TargetResult.atMost("requests refused by overloaded engines", 0, refusals),
            TargetResult.atMost("new work in the data centre while out", 0, submittedWhileOut));
    double[] x = TimeSeries.times(TRAFFIC_END_S);
    List<CompletedRequest> all = log.arrivedBetween(RequestClass.INTERACTIVE, 0, TRAFFIC_END_S);
    return new RouterResult(figures, targets, x, TimeSeries.p99Seconds(all, x));
  }

  private static double shape(double seconds) {
    return seconds < TRAFFIC_END_S ? 1 : 0;
  }

  private static long nanos(int seconds) {
    return Duration.ofSeconds(seconds).toNanos();
  }

  private static List<SimulatedEngine> engines(LoadSimulation simulation, String dataCentre) {
    return simulation.fleet().engines().stream()
        .filter(e -> e.config().dataCentre().equals(dataCentre))
        .toList();
  }

  private static long submitted(LoadSimulation simulation, String dataCentre) {
    return engines(simulation, dataCentre).stream().mapToLong(SimulatedEngine::submitted).sum();
  }
}

package org.guavagw.cli.check;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.guavagw.cli.local.DeploymentConfig;
import org.guavagw.cli.local.LocalDeployment;
import org.guavagw.config.ConfigEdits;
import org.guavagw.config.DataCentreState;
import org.guavagw.config.RolloutState;
import org.guavagw.config.VersionRef;
import org.guavagw.config.VersionState;
import org.guavagw.standins.engine.AnswerFault;
import org.guavagw.standins.engine.EngineStandIn;
import org.guavagw.standins.fault.FaultRates;
import org.guavagw.standins.history.Event;
import org.guavagw.standins.service.PlainServiceStandIn;
import org.guavagw.standins.service.ServiceFault;

/** The faults that a check run can inject. Stateless. */
final class FaultCatalog {
  private static final VersionRef SPARE = new VersionRef(DeploymentConfig.SMALL, "v2");

  private static final int MAX_PICK = 1_000;

  private FaultCatalog() {}

  /** Draws a random fault. */
  static Fault draw(UniformRandomProvider random) {
    List<Fault> all = all(random.nextInt(MAX_PICK));
    return all.get(random.nextInt(all.size()));
  }

  /** Finds a fault by its name. */
  static Fault named(String name, UniformRandomProvider random) {
    return all(random.nextInt(MAX_PICK)).stream()
        .filter(f -> f.name().equals(name))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("unknown fault: " + name));
  }

  private static List<Fault> all(int pick) {
    List<Fault> all = new ArrayList<>(List.of(tableDown(), tableAnswersLost(), ratingsDown()));
    all.addAll(engineFaults(pick));
    all.addAll(ledgerFaults(pick));
    all.addAll(entryFaults(pick));
    all.addAll(operatorActions(pick));
    return all;
  }

  private static List<Fault> engineFaults(int pick) {
    return List.of(
        engine("engine dies and comes back", pick, FaultCatalog::crashAndRestart),
        new NamedFault("engine turns cold", deployment -> turnCold(deployment, pick)),
        engine("stream is reset", pick, e -> hit(e, AnswerFault.Kind.RESET)),
        engine("answer ends halfway", pick, e -> hit(e, AnswerFault.Kind.HALF_ANSWER)),
        engine("stream goes silent", pick, e -> hit(e, AnswerFault.Kind.SILENCE)),
        engine("answers are crossed", pick, e -> hit(e, AnswerFault.Kind.CROSSED)),
        engine("open connections go silent", pick, EngineStandIn::silenceOpenConnections),
        engine("engine refuses", pick, e -> enableFor(800, e.faults()::refuse)));
  }

  private static List<Fault> ledgerFaults(int pick) {
    return List.of(
        ledger("service is cut after the run", pick, ServiceFault.RESET_AFTER_RUN),
        ledger("service is cut before the run", pick, ServiceFault.RESET_BEFORE_RUN),
        ledger("service refuses", pick, ServiceFault.REFUSE),
        ledger("service fails after the run", pick, ServiceFault.FAIL_AFTER_RUN));
  }

  private static List<Fault> entryFaults(int pick) {
    return List.of(
        new NamedFault(
            "entry is killed", deployment -> deployment.killAndReplace(entry(deployment, pick))),
        new NamedFault(
            "entry is replaced",
            deployment -> deployment.replaceGracefully(entry(deployment, pick))));
  }

  private static List<Fault> operatorActions(int pick) {
    return List.of(
        new NamedFault(
            "data centre goes out and back", deployment -> takeOutAndBringBack(deployment, pick)),
        new NamedFault("version is withdrawn", FaultCatalog::withdraw),
        new NamedFault("rollout moves on", FaultCatalog::advanceRollout),
        new NamedFault(
            "backend server leaves and returns", deployment -> leaveAndReturn(deployment, pick)));
  }

  private static Fault tableDown() {
    return new NamedFault(
        "table service is down",
        deployment -> enableFor(1_500, deployment.local().table().faults()::down));
  }

  private static Fault tableAnswersLost() {
    return new NamedFault(
        "table service loses answers",
        deployment ->
            enableFor(
                1_500,
                on ->
                    deployment
                        .local()
                        .table()
                        .faults()
                        .rates(on ? new FaultRates(0.05, 0.1, 0.2) : FaultRates.NONE)));
  }

  private static Fault ratingsDown() {
    return new NamedFault(
        "rating service is down",
        deployment -> enableFor(1_500, deployment.local().ratings().faults()::down));
  }

  /** A fault that can be switched on and off. */
  private interface Switch {
    void set(boolean on);
  }

  private static void enableFor(long millis, Switch fault) throws InterruptedException {
    fault.set(true);
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } finally {
      fault.set(false);
    }
  }

  /** A fault of one engine. */
  private interface EngineFault {
    void run(EngineStandIn engine) throws InterruptedException;
  }

  private static Fault engine(String name, int pick, EngineFault action) {
    return new NamedFault(name, deployment -> action.run(engineEntry(deployment, pick).getValue()));
  }

  private static Map.Entry<String, EngineStandIn> engineEntry(
      RecordedDeployment deployment, int pick) {
    List<Map.Entry<String, EngineStandIn>> all =
        List.copyOf(deployment.local().engines().entrySet());
    return all.get(pick % all.size());
  }

  private static void hit(EngineStandIn engine, AnswerFault.Kind kind) {
    for (int chunks = 0; chunks < 6; chunks++) {
      engine.faults().injectNext(new AnswerFault(kind, chunks));
    }
  }

  private static void turnCold(RecordedDeployment deployment, int pick) {
    Map.Entry<String, EngineStandIn> chosen = engineEntry(deployment, pick);
    deployment.recorder().record(new Event.ServerTurnedCold(chosen.getKey()));
    chosen.getValue().turnCold();
  }

  private static void crashAndRestart(EngineStandIn engine) throws InterruptedException {
    engine.crash();
    TimeUnit.MILLISECONDS.sleep(700);
    engine.restart();
  }

  private static Fault ledger(String name, int pick, ServiceFault fault) {
    return new NamedFault(
        name,
        deployment -> {
          List<PlainServiceStandIn> all = List.copyOf(deployment.local().ledgers().values());
          PlainServiceStandIn service = all.get(pick % all.size());
          service.faults().injectNext(fault);
          service.faults().injectNext(fault);
        });
  }

  private static LocalDeployment.RunningMember entry(RecordedDeployment deployment, int pick) {
    List<LocalDeployment.RunningMember> all = deployment.local().entries();
    return all.get(pick % all.size());
  }

  private static void takeOutAndBringBack(RecordedDeployment deployment, int pick)
      throws InterruptedException {
    var dataCentres = deployment.local().plan().dataCentres();
    String id = dataCentres.get(pick % dataCentres.size()).id();
    deployment.apply(
        c -> ConfigEdits.setDataCentreState(c, id, DataCentreState.OUT),
        new Event.DataCentreOut(id));
    TimeUnit.MILLISECONDS.sleep(5_000);
    deployment.apply(
        c -> ConfigEdits.setDataCentreState(c, id, DataCentreState.IN), new Event.DataCentreIn(id));
  }

  private static void withdraw(RecordedDeployment deployment) throws InterruptedException {
    deployment.apply(
        c ->
            ConfigEdits.moveRollout(
                ConfigEdits.setVersionState(c, SPARE, VersionState.WITHDRAWN),
                "small-v2",
                0,
                RolloutState.ABORTED),
        new Event.VersionWithdrawn(SPARE));
  }

  private static void advanceRollout(RecordedDeployment deployment) throws InterruptedException {
    deployment.apply(
        c ->
            c.rollouts().stream()
                .filter(r -> r.state() == RolloutState.RUNNING && r.stage() == 0)
                .findFirst()
                .map(r -> ConfigEdits.moveRollout(c, r.id(), 1, RolloutState.RUNNING))
                .orElse(c));
  }

  private static void leaveAndReturn(RecordedDeployment deployment, int pick)
      throws InterruptedException {
    String id = engineEntry(deployment, pick).getKey();
    deployment.apply(c -> ConfigEdits.setLeaving(c, id, true), new Event.ServerLeaving(id));
    TimeUnit.MILLISECONDS.sleep(5_000);
    deployment.apply(c -> ConfigEdits.setLeaving(c, id, false), new Event.ServerJoined(id));
  }
}

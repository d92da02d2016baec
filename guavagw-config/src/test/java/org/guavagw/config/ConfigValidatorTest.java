package org.guavagw.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.guavagw.config.GatewayConfigs.backendServer;
import static org.guavagw.config.GatewayConfigs.cascade;
import static org.guavagw.config.GatewayConfigs.dataCentre;
import static org.guavagw.config.GatewayConfigs.gateway;
import static org.guavagw.config.GatewayConfigs.model;
import static org.guavagw.config.GatewayConfigs.plainService;
import static org.guavagw.config.GatewayConfigs.rollout;
import static org.guavagw.config.GatewayConfigs.team;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ConfigValidatorTest {
  private static final ObjectMapper JSON = new ObjectMapper();

  static GatewayDraft valid() {
    return gateway()
        .with(dataCentre("hq").in("upper"))
        .with(model("small").pricedAt(50, 200).serving("v1").staged("v2"))
        .with(model("large").pricedAt(500, 2_000).serving("v1"))
        .with(backendServer("e1").in("hq").at("10.0.0.1", 80).serving("small", "v1").slots(8, 2))
        .with(backendServer("l1").in("hq").at("10.0.0.2", 80).slots(4, 2))
        .with(plainService("ledger").offeredBy("l1").notRepeatable("POST", "/corrections"))
        .with(cascade("lookup").through("small", "large").toQuality(0.8).weighingLatency(0.5))
        .with(
            team("desk")
                .keyHash("ab".repeat(32))
                .mayUse("small", "v1")
                .mayAsk("lookup")
                .mayCall("ledger")
                .limitedTo(10, 1))
        .with(rollout("r1").moving("small", "v1", "v2").inStages(5, 25, 100));
  }

  @Test
  void shouldAcceptAValidConfiguration() {
    assertThat(ConfigValidator.faultsOf(valid().build())).isEmpty();
  }

  @Test
  void shouldAcceptWithdrawalOfTheOnlyServingVersion() {
    GatewayConfig config =
        ConfigEdits.setVersionState(
            valid().build(), new VersionRef("large", "v1"), VersionState.WITHDRAWN);

    assertThat(ConfigValidator.faultsOf(config)).isEmpty();
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "/dataCentres/0/id | \"\"",
        "/dataCentres/0/id | \"a/b\"",
        "/dataCentres/0/id | \"a\\u0001b\"",
        "/dataCentres/0/region | null",
        "/dataCentres/0/state | \"AWAY\"",
        "/models/0/id | \"a@b\"",
        "/models/1/id | \"small\"",
        "/models/0/versions/1/id | \"v1\"",
        "/models/0/price/inputMicrosPerThousandTokens | -1",
        "/models/0/price | null",
        "/backendServers/0/dataCentre | \"nowhere\"",
        "/backendServers/0/serves/0/version | \"v9\"",
        "/backendServers/0/serves/0/model | \"none\"",
        "/backendServers/0/port | 0",
        "/backendServers/0/port | 65536",
        "/backendServers/0/slots | 0",
        "/backendServers/0/coldSlots | -1",
        "/backendServers/0/coldSlots | 9",
        "/backendServers/1/id | \"e1\"",
        "/plainServices/0/backendServers/0 | \"none\"",
        "/plainServices/0/microsPerCall | -1",
        "/plainServices/0/calls/0/pathPrefix | \"corrections\"",
        "/cascades/0/steps/0 | \"none\"",
        "/cascades/0/steps | []",
        "/cascades/0/steps | [\"large\",\"small\"]",
        "/cascades/0/qualityTarget | 1.5",
        "/cascades/0/latencyWeight | -0.1",
        "/cascades/0/taskClass | \"small\"",
        "/teams/0/keyHashes/0 | \"ABCD\"",
        "/teams/0/allowances/0/model | \"none\"",
        "/teams/0/allowances/0/versions/0 | \"v9\"",
        "/teams/0/cascades/0 | \"none\"",
        "/teams/0/plainServices/0 | \"none\"",
        "/teams/0/budget/microsPerDay | -1",
        "/teams/0/limits/maxConcurrentRequests | 0",
        "/teams/0/limits/fairShareWeight | 0",
        "/rollouts/0/model | \"none\"",
        "/rollouts/0/fromVersion | \"v9\"",
        "/rollouts/0/toVersion | \"v1\"",
        "/rollouts/0/toVersion | \"v9\"",
        "/rollouts/0/stagesPercent | [5,5,100]",
        "/rollouts/0/stagesPercent | [5,25,90]",
        "/rollouts/0/stage | 3",
        "/rollouts/0/stage | -1",
        "/rollouts/0/state | \"DONE?\"",
      })
  void shouldReportEachFaultAtItsPath(String pointer, String value) throws IOException {
    ObjectNode document = JSON.valueToTree(valid().build());
    set(document, pointer, value);

    List<ConfigFault> faults = ConfigJson.parse(document.toString()).getLeft();

    String jsonPath = "$" + pointer.replaceAll("/(\\d+)", "[$1]").replace('/', '.');
    assertThat(faults).anyMatch(f -> f.path().startsWith(jsonPath));
  }

  @Test
  void shouldReportSchemaViolationsAndRuleViolationsTogether() throws IOException {
    ObjectNode document = JSON.valueToTree(valid().build());
    set(document, "/backendServers/0/port", "0");
    set(document, "/backendServers/0/dataCentre", "\"nowhere\"");
    set(document, "/rollouts/0/toVersion", "\"v9\"");

    List<ConfigFault> faults = ConfigJson.parse(document.toString()).getLeft();

    assertThat(faults)
        .extracting(ConfigFault::path)
        .containsExactlyInAnyOrder(
            "$.backendServers[0].port",
            "$.backendServers[0].dataCentre",
            "$.rollouts[0].toVersion");
  }

  @Test
  void shouldRefuseASecondRunningRolloutOfAModel() {
    GatewayDraft twice = valid().with(rollout("r2").moving("small", "v2", "v1"));

    assertThat(ConfigValidator.faultsOf(twice.build()))
        .extracting(ConfigFault::path)
        .containsExactly("$.rollouts[1].state");
  }

  @Test
  void shouldReportThePathOfAnUnknownField() throws IOException {
    ObjectNode document = JSON.valueToTree(valid().build());
    ((ObjectNode) document.at("/teams/0")).put("colour", "red");

    List<ConfigFault> faults = ConfigJson.parse(document.toString()).getLeft();

    assertThat(faults).anyMatch(f -> f.path().startsWith("$.teams[0]") && mentions(f, "colour"));
  }

  @Property(seed = "7", tries = 200)
  void shouldPrintTheSameTextAfterParsing(@ForAll("configs") GatewayConfig config) {
    String printed = ConfigJson.print(config);

    GatewayConfig parsed = ConfigJson.parse(printed).get();

    assertThat(parsed).isEqualTo(config);
    assertThat(ConfigJson.print(parsed)).isEqualTo(printed);
  }

  @Provide
  Arbitrary<GatewayConfig> configs() {
    Arbitrary<String> name =
        Arbitraries.strings()
            .withCharRange('a', 'z')
            .numeric()
            .withChars("-_.é水")
            .ofMinLength(1)
            .ofMaxLength(199);
    Arbitrary<Double> fraction = Arbitraries.doubles().between(0, 1);
    Arbitrary<Long> price = Arbitraries.longs().between(0, Long.MAX_VALUE);
    return Combinators.combine(name, fraction, price, name)
        .as(
            (id, quality, micros, region) ->
                valid()
                    .with(dataCentre("x" + id).in(region).takenOut())
                    .with(model("m" + id).pricedAt(micros, micros).withdrawn(id))
                    .with(cascade("c" + id).through("m" + id).toQuality(quality))
                    .with(team("t" + id).mayUse("m" + id, id).spendingPerDay(micros))
                    .build());
  }

  private static boolean mentions(ConfigFault fault, String word) {
    return (fault.path() + fault.problem()).contains(word);
  }

  private static void set(ObjectNode document, String pointer, String value) throws IOException {
    int lastSlash = pointer.lastIndexOf('/');
    String field = pointer.substring(lastSlash + 1);
    var parent = document.at(pointer.substring(0, lastSlash));
    if (parent instanceof ObjectNode object) {
      object.set(field, JSON.readTree(value));
    } else {
      ((ArrayNode) parent).set(Integer.parseInt(field), JSON.readTree(value));
    }
  }
}

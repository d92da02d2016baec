package org.guavagw.internal.entry;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.guavagw.EntrySettings;
import org.guavagw.internal.cascade.CascadePlanner;
import org.guavagw.internal.cascade.CostEstimator;
import org.guavagw.internal.config.ConfigSource;
import org.guavagw.internal.dispatch.BackendIndexHolder;
import org.guavagw.internal.dispatch.ChatDispatchFilter;
import org.guavagw.internal.dispatch.DispatchGuard;
import org.guavagw.internal.dispatch.DispatchParts;
import org.guavagw.internal.dispatch.ServiceDispatchFilter;
import org.guavagw.internal.engine.ConnectionPools;
import org.guavagw.internal.engine.HttpEngineClient;
import org.guavagw.internal.lifecycle.Closer;
import org.guavagw.internal.limits.AdmissionSettings;
import org.guavagw.internal.limits.RetryBudget;
import org.guavagw.internal.limits.TeamLimiter;
import org.guavagw.internal.permit.PermitService;
import org.guavagw.internal.pipeline.AdmissionFilter;
import org.guavagw.internal.pipeline.AuthenticateFilter;
import org.guavagw.internal.pipeline.BillFilter;
import org.guavagw.internal.pipeline.BudgetFilter;
import org.guavagw.internal.pipeline.CascadeFilter;
import org.guavagw.internal.pipeline.Filter;
import org.guavagw.internal.pipeline.OnceFilter;
import org.guavagw.internal.pipeline.Pipeline;
import org.guavagw.internal.pipeline.RateFilter;
import org.guavagw.internal.pipeline.RecordFilter;
import org.guavagw.internal.pipeline.ResolveModelFilter;
import org.guavagw.internal.pipeline.ResolveServiceFilter;
import org.guavagw.internal.pipeline.TeamLimitFilter;
import org.guavagw.internal.pipeline.VersionFilter;
import org.guavagw.internal.placement.AdmissionPools;
import org.guavagw.internal.placement.BackendViews;
import org.guavagw.internal.placement.SampledPlacement;
import org.guavagw.internal.quality.QualityModel;
import org.guavagw.internal.rating.RatingObserver;
import org.guavagw.internal.rating.TimedAnswerRater;
import org.guavagw.internal.rollout.VersionChooser;
import org.guavagw.internal.rollout.VersionOutcome;
import org.guavagw.internal.service.HttpServiceClient;
import org.guavagw.internal.session.SessionPins;
import org.guavagw.internal.time.Clocks;
import org.guavagw.platform.Platform;

/** The two pipelines of an entry and what they decide by. Immutable. */
record TrafficParts(
    Pipeline chat,
    Pipeline service,
    AuthenticateFilter authenticate,
    BackendViews views,
    AdmissionPools pools,
    BackendIndexHolder index,
    QualityModel quality) {

  /** Joins the filters. */
  static TrafficParts create(
      EntrySettings settings,
      Platform platform,
      ConfigSource configs,
      DurableParts durable,
      Collaborators others,
      ObjectMapper json,
      Clocks clocks,
      Closer closer) {
    ConnectionPools connections = closer.register(new ConnectionPools(settings.silenceTimeout()));
    BackendViews views = new BackendViews(clocks.monotonic());
    QualityModel quality = new QualityModel();
    TimedAnswerRater rater =
        closer.register(new TimedAnswerRater(platform.ratings(), clocks.monotonic()));
    BackendIndexHolder index = new BackendIndexHolder(configs, clocks.monotonic(), views::onIndex);
    AdmissionPools pools =
        closer.register(
            new AdmissionPools(
                views, others.members(), AdmissionSettings.DEFAULT, clocks.monotonic()));
    DispatchParts dispatch =
        dispatchParts(settings, configs, index, views, connections, others, json, clocks);
    RatingObserver observer = new RatingObserver(quality, others.outcomes());
    Shared shared =
        new Shared(
            configs,
            new AuthenticateFilter(configs),
            new RecordFilter(durable.decisions(), others.metrics(), clocks),
            new TeamLimitFilter(new TeamLimiter()),
            new BudgetFilter(configs, durable.budgets()),
            new BillFilter(configs, durable.bills(), clocks));
    VersionFilter version = new VersionFilter(configs, new VersionChooser(), others.pins());
    CascadeFilter cascade =
        new CascadeFilter(
            json,
            configs,
            version,
            new CascadePlanner(quality),
            new CostEstimator(),
            rater,
            observer,
            clocks);
    List<Filter> routing =
        List.of(
            cascade,
            version,
            new AdmissionFilter(pools, index::current),
            new RateFilter(json, rater, observer),
            new ChatDispatchFilter(dispatch));
    ServiceDispatchFilter services =
        new ServiceDispatchFilter(dispatch, new HttpServiceClient(connections));
    return new TrafficParts(
        shared.chat(routing),
        shared.service(
            new OnceFilter(configs, others.hooks().once().apply(durable.once())), services),
        shared.authenticate(),
        views,
        pools,
        index,
        quality);
  }

  private static DispatchParts dispatchParts(
      EntrySettings settings,
      ConfigSource configs,
      BackendIndexHolder index,
      BackendViews views,
      ConnectionPools connections,
      Collaborators others,
      ObjectMapper json,
      Clocks clocks) {
    return new DispatchParts(
        json,
        new DispatchGuard(configs),
        index,
        views,
        new SampledPlacement(views, ThreadLocalRandom::current),
        others.permits(),
        new RetryBudget(),
        others.hooks().engines().apply(new HttpEngineClient(connections)),
        others.outcomes(),
        clocks,
        settings.dataCentre());
  }

  /** Filters that both pipelines pass; immutable. */
  private record Shared(
      ConfigSource configs,
      AuthenticateFilter authenticate,
      RecordFilter record,
      TeamLimitFilter teamLimit,
      BudgetFilter budget,
      BillFilter bill) {
    Pipeline chat(List<Filter> routing) {
      List<Filter> filters = new ArrayList<>();
      filters.addAll(List.of(record, authenticate, new ResolveModelFilter(configs)));
      filters.addAll(List.of(teamLimit, budget, bill));
      filters.addAll(routing);
      return new Pipeline(filters);
    }

    Pipeline service(OnceFilter once, ServiceDispatchFilter dispatch) {
      return new Pipeline(
          List.of(
              record,
              authenticate,
              new ResolveServiceFilter(configs),
              teamLimit,
              once,
              budget,
              bill,
              dispatch));
    }
  }

  /** What traffic needs from other parts of the entry; immutable. */
  record Collaborators(
      MetricRegistry metrics,
      PermitService permits,
      SessionPins pins,
      Consumer<VersionOutcome> outcomes,
      IntSupplier members,
      EntryHooks hooks) {}
}

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
import org.guavagw.internal.dispatch.DispatchDependencies;
import org.guavagw.internal.dispatch.DispatchGuard;
import org.guavagw.internal.dispatch.ServiceDispatchFilter;
import org.guavagw.internal.engine.ConnectionPools;
import org.guavagw.internal.engine.HttpEngineClient;
import org.guavagw.internal.lifecycle.Closer;
import org.guavagw.internal.limits.AdmissionSettings;
import org.guavagw.internal.limits.RetryBudget;
import org.guavagw.internal.limits.TeamLimiter;
import org.guavagw.internal.permit.PermitService;
import org.guavagw.internal.pipeline.AdmissionFilter;
import org.guavagw.internal.pipeline.AnswerRatingFilter;
import org.guavagw.internal.pipeline.AuthenticationFilter;
import org.guavagw.internal.pipeline.BillingFilter;
import org.guavagw.internal.pipeline.BudgetFilter;
import org.guavagw.internal.pipeline.CascadeFilter;
import org.guavagw.internal.pipeline.DecisionRecordFilter;
import org.guavagw.internal.pipeline.Filter;
import org.guavagw.internal.pipeline.IdempotencyFilter;
import org.guavagw.internal.pipeline.Pipeline;
import org.guavagw.internal.pipeline.ResolveModelFilter;
import org.guavagw.internal.pipeline.ResolveServiceFilter;
import org.guavagw.internal.pipeline.TeamLimitFilter;
import org.guavagw.internal.pipeline.VersionFilter;
import org.guavagw.internal.placement.AdmissionQueues;
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

/** The pipelines for chat and service requests, and the state that they share. Immutable. */
record RequestPipelines(
    Pipeline chat,
    Pipeline service,
    AuthenticationFilter authenticate,
    BackendViews views,
    AdmissionQueues queues,
    BackendIndexHolder index,
    QualityModel quality) {

  /** Creates the pipelines and their filters. */
  static RequestPipelines create(
      EntrySettings settings,
      Platform platform,
      ConfigSource configs,
      DurableServices durable,
      Dependencies dependencies,
      ObjectMapper json,
      Clocks clocks,
      Closer closer) {
    ConnectionPools connections = closer.register(new ConnectionPools(settings.silenceTimeout()));
    BackendViews views = new BackendViews(clocks.monotonic());
    QualityModel quality = new QualityModel();
    TimedAnswerRater rater =
        closer.register(new TimedAnswerRater(platform.ratings(), clocks.monotonic()));
    BackendIndexHolder index = new BackendIndexHolder(configs, clocks.monotonic(), views::onIndex);
    AdmissionQueues queues =
        closer.register(
            new AdmissionQueues(
                views, dependencies.members(), AdmissionSettings.DEFAULT, clocks.monotonic()));
    DispatchDependencies dispatch =
        createDispatchDependencies(
            settings, configs, index, views, connections, dependencies, json, clocks);
    RatingObserver observer = new RatingObserver(quality, dependencies.outcomes());
    SharedFilters sharedFilters =
        new SharedFilters(
            configs,
            new AuthenticationFilter(configs),
            new DecisionRecordFilter(durable.decisions(), dependencies.metrics(), clocks),
            new TeamLimitFilter(new TeamLimiter()),
            new BudgetFilter(configs, durable.budgets()),
            new BillingFilter(configs, durable.bills(), clocks));
    VersionFilter version = new VersionFilter(configs, new VersionChooser(), dependencies.pins());
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
            new AdmissionFilter(queues, index::current),
            new AnswerRatingFilter(json, rater, observer),
            new ChatDispatchFilter(dispatch));
    ServiceDispatchFilter services =
        new ServiceDispatchFilter(dispatch, new HttpServiceClient(connections));
    return new RequestPipelines(
        sharedFilters.chat(routing),
        sharedFilters.service(
            new IdempotencyFilter(configs, dependencies.hooks().once().apply(durable.once())),
            services),
        sharedFilters.authenticate(),
        views,
        queues,
        index,
        quality);
  }

  private static DispatchDependencies createDispatchDependencies(
      EntrySettings settings,
      ConfigSource configs,
      BackendIndexHolder index,
      BackendViews views,
      ConnectionPools connections,
      Dependencies dependencies,
      ObjectMapper json,
      Clocks clocks) {
    return new DispatchDependencies(
        json,
        new DispatchGuard(configs),
        index,
        views,
        new SampledPlacement(views, ThreadLocalRandom::current),
        dependencies.permits(),
        new RetryBudget(),
        dependencies.hooks().engines().apply(new HttpEngineClient(connections)),
        dependencies.outcomes(),
        clocks,
        settings.dataCentre());
  }

  /** Filters that both pipelines use. Immutable. */
  private record SharedFilters(
      ConfigSource configs,
      AuthenticationFilter authenticate,
      DecisionRecordFilter record,
      TeamLimitFilter teamLimit,
      BudgetFilter budget,
      BillingFilter bill) {
    Pipeline chat(List<Filter> routing) {
      List<Filter> filters = new ArrayList<>();
      filters.addAll(List.of(record, authenticate, new ResolveModelFilter(configs)));
      filters.addAll(List.of(teamLimit, budget, bill));
      filters.addAll(routing);
      return new Pipeline(filters);
    }

    Pipeline service(IdempotencyFilter once, ServiceDispatchFilter dispatch) {
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

  /** What the pipelines need from other components of the entry. Immutable. */
  record Dependencies(
      MetricRegistry metrics,
      PermitService permits,
      SessionPins pins,
      Consumer<VersionOutcome> outcomes,
      IntSupplier members,
      EntryHooks hooks) {}
}

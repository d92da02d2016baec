package org.guavagw.platform;

import io.vavr.control.Either;
import java.util.List;

/** The platform's list of VMs, which lags. Implementations are thread-safe; calls block. */
public interface VmList {
  /** Returns the entry VMs known to the platform. */
  Either<PlatformFailure, List<Vm>> vms();
}

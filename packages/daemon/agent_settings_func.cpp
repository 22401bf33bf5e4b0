/// @file
/// Settings of an agent as its controller and its client take them.

#include "daemon/agent_settings_func.h"

#include "net/link_settings_func.h"

namespace camphornotch {

namespace {

/// Microseconds that a call of a plain service is taken for at first.
constexpr int64_t FirstCallMicros = 20'000;

/// @param Settings the settings.
/// @return settings of admission.
AdmissionSettings admissionOf(const AgentSettings &Settings) {
  AdmissionSettings Admission;
  Admission.Slots = static_cast<int>(Settings.Slots);
  Admission.MaxQueued = static_cast<size_t>(Settings.MaxQueued);
  ClassedAdmission Classes;
  Classes.ShortReserve = static_cast<int>(Settings.ShortReserve);
  Admission.Policy = Classes;
  if (Settings.EndpointKind != "engine")
    Admission.InitialTokenMicros = FirstCallMicros;
  return Admission;
}

} // namespace

AgentControllerSettings controllerSettingsOf(const AgentSettings &Settings,
                                             BootId Boot) {
  AgentControllerSettings Controller;
  Controller.Host = HostId{Settings.Common.Host};
  Controller.Boot = Boot;
  Controller.Endpoint = EndpointId{Settings.EndpointName};
  Controller.IsEngine = Settings.EndpointKind == "engine";
  Controller.Serves = Settings.Serves;
  Controller.Admission = admissionOf(Settings);
  Controller.Weights.Endpoint = Controller.Endpoint;
  Controller.Weights.Model = Settings.Serves;
  Controller.Weights.OrderTimeout = Settings.SwapTimeout;
  Controller.Leaving.KeepWork = Settings.Common.StopGrace;
  Controller.Store.MaxEndedBytes =
      static_cast<size_t>(Settings.Common.MaxAnswerBytesHeld);
  Controller.IntentMemory = static_cast<size_t>(Settings.IntentMemory);
  return Controller;
}

EndpointConfig endpointConfigOf(const AgentSettings &Settings) {
  EndpointConfig Config;
  Config.Target = targetOf(Settings.EndpointAddress);
  Config.IsEngine = Settings.EndpointKind == "engine";
  Config.Model = Settings.Serves;
  // The controller gives an order up first; this only frees the socket.
  Config.OrderTimeout = Settings.SwapTimeout + seconds(1);
  return Config;
}

} // namespace camphornotch

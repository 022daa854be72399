#pragma once

#include "Client/OperatorClient.h"
#include "ctl/CtlOptions.h"

namespace robinrun::ctl {

/// \brief Creates or changes the resources of the file that \a options name. \returns the exit status.
int apply(OperatorClient& client, const CtlOptions& options);

/// \brief Empties the data hall that \a options name, or takes it back. \returns the exit status.
int setEmptied(OperatorClient& client, const CtlOptions& options, bool isEmptied);

/// \brief Deletes the resource that \a options name. \returns the exit status.
int remove(OperatorClient& client, const CtlOptions& options);

} // namespace robinrun::ctl

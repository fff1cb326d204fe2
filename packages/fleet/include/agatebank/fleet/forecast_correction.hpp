#pragma once

#include <agatebank/core/ids.hpp>
#include <agatebank/core/units.hpp>

#include <deque>
#include <map>
#include <optional>

namespace agatebank
{

/// @brief How the ends of the latest jobs compare with what was
/// expected at their admission.
struct forecast_error
{
    std::size_t jobs = 0; ///< that ended within the window
    double ratio =
        1; ///< two-thirds quantile of actual over expected time, 1 at least
    duration delay{}; ///< two-thirds quantile of actual less expected time, 0
                      ///< at least
    double late_share = 0; ///< jobs that missed their objective, of all
};

/// @brief Compares the ends of an entry's jobs with the expected ones, over the
/// last second.
///
/// Load pattern: a burst that loads a service over its capacity. Several
/// entries place work between two load reports, and urgent orders overtake
/// those that wait, so that the expected wait is too short as long as the
/// burst lasts.
class forecast_correction
{
  public:
    // modifiers
    /// @brief Adds a job that has ended.
    /// @param actual time from its arrival to its end; of a job that was given
    /// up, the time for which its answer would have been useful
    /// @param expected the same time as expected at its admission, uncorrected
    void on_end(const service_name& service, std::size_t band,
                duration expected, duration actual, bool late, time_point now);

    // lookup
    /// @brief Returns the error over the last second for a priority band, as
    /// urgent orders overtake others, or for all bands of the service if few
    /// jobs of that band have ended. With few jobs in all, the ratio is 1 and
    /// the late share 0, as single jobs vary too much.
    forecast_error error(const service_name& service, std::size_t band,
                         time_point now) const;

  private:
    struct sample
    {
        time_point at;
        std::size_t band = 0;
        double ratio = 1;
        duration delay{};
        bool late = false;
    };

    static forecast_error error_of(const std::deque<sample>& samples,
                                   std::optional<std::size_t> band,
                                   time_point now);

    std::map<service_name, std::deque<sample>> samples_;
};

} // namespace agatebank
